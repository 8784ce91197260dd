//! Process functions shared by both roles: signals as actor messages, reloading of the settings file, and links.
mod link;

use actix::prelude::*;
pub use link::run_link;

#[derive(Message, Clone, Copy, PartialEq, Eq, Debug)]
#[rtype(result = "()")]
pub enum Signal {
    /// SIGTERM: shut down.
    Terminate,
    /// SIGHUP: reload the settings file.
    Reload,
}

/// Forwards SIGTERM and SIGHUP to the actor that owns the node.
pub async fn watch_signals<A>(owner: Addr<A>) -> std::io::Result<()>
where
    A: Actor<Context = Context<A>> + Handler<Signal>,
{
    use tokio::signal::unix::{signal, SignalKind};
    let (mut term, mut hup) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    loop {
        let signal = tokio::select! {
            _ = term.recv() => Signal::Terminate,
            _ = hup.recv() => Signal::Reload,
        };
        owner.do_send(signal);
    }
}

/// A random number for use as a unique identifier.
pub fn random_u64() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

/// The path of the settings file and its modification time when last read.
pub struct SettingsFile {
    path: String,
    modified: Option<std::time::SystemTime>,
}

fn modified(path: &str) -> Option<std::time::SystemTime> {
    std::fs::metadata(path).and_then(|meta| meta.modified()).ok()
}

impl SettingsFile {
    pub fn new(path: &str) -> SettingsFile {
        SettingsFile { path: path.to_owned(), modified: modified(path) }
    }

    /// Whether the file was modified since it was last read.
    pub fn is_changed(&self) -> bool {
        modified(&self.path) != self.modified
    }

    /// Reloads the file. Returns `None` if it is invalid, so that the node continues with its previous settings.
    pub fn reload(&mut self) -> Option<wv_settings::Settings> {
        self.modified = modified(&self.path);
        match wv_settings::Settings::load(&self.path) {
            Ok(settings) => {
                log::info!("settings file reloaded");
                Some(settings)
            }
            Err(error) => {
                log::warn!("invalid settings file, keeping the previous settings: {error}");
                None
            }
        }
    }
}

/// An incarnation number, higher than those of earlier runs of the process unless the clock was set back.
pub fn new_incarnation() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(1, |since| since.as_micros() as u64)
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    const VALID_SETTINGS: &str =
        "nodeName: a\nzone: z\nip: 127.0.0.1\ninternalPorts: [7000]\nseeds: [\"127.0.0.1:80\"]\n";

    #[gtest]
    fn given_an_invalid_settings_file_then_it_is_rejected_until_it_is_corrected() {
        let path = std::env::temp_dir().join(format!("windvalve-settings-{}.yaml", std::process::id()));
        let write = |text: &str| std::fs::write(&path, text).is_ok();
        expect_that!(write(VALID_SETTINGS), eq(true));
        let mut file = SettingsFile::new(path.to_str().unwrap_or_default());
        expect_that!(file.reload().map(|settings| settings.node_name), some(eq("a")));
        expect_that!(write("nodeName: [1, 2"), eq(true));
        expect_that!(file.reload().is_none(), eq(true));
        expect_that!(write(&VALID_SETTINGS.replace("zone: z", "zone: y\nunknownField: 3")), eq(true));
        expect_that!(file.reload().map(|settings| settings.zone), some(eq("y")));
        expect_that!(std::fs::remove_file(&path).is_ok(), eq(true));
        expect_that!(file.is_changed(), eq(true));
    }
}
