//! What both roles do as processes: signals as actor messages, and the settings file read again when it changes.
mod carry;

use actix::prelude::*;
pub use carry::carry;

#[derive(Message, Clone, Copy, PartialEq, Eq, Debug)]
#[rtype(result = "()")]
pub enum Signal {
    Leave,
    Reread,
}

/// Hands signals over to the actor that owns the node.
pub async fn watch_signals<A>(owner: Addr<A>) -> std::io::Result<()>
where
    A: Actor<Context = Context<A>> + Handler<Signal>,
{
    use tokio::signal::unix::{signal, SignalKind};
    let (mut term, mut hup) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    loop {
        let signal = tokio::select! {
            _ = term.recv() => Signal::Leave,
            _ = hup.recv() => Signal::Reread,
        };
        owner.do_send(signal);
    }
}

/// A number drawn at random, the same for no two disks.
pub fn draw() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

/// The settings file and when it last changed.
pub struct SettingsFile {
    path: String,
    seen: Option<std::time::SystemTime>,
}

fn changed(path: &str) -> Option<std::time::SystemTime> {
    std::fs::metadata(path).and_then(|meta| meta.modified()).ok()
}

impl SettingsFile {
    pub fn new(path: &str) -> SettingsFile {
        SettingsFile { path: path.to_owned(), seen: changed(path) }
    }

    /// Whether it changed since it was last read; it may change without any signal.
    pub fn is_changed(&self) -> bool {
        changed(&self.path) != self.seen
    }

    /// Reads it again. What runs goes on with what it had: a bad file must not take a node down.
    pub fn reread(&mut self) -> Option<wv_settings::Settings> {
        self.seen = changed(&self.path);
        match wv_settings::Settings::load(&self.path) {
            Ok(settings) => {
                log::info!("settings file read again");
                Some(settings)
            }
            Err(error) => {
                log::warn!("settings file not taken, the old settings stay: {error}");
                None
            }
        }
    }
}

/// A number for this life of the process, higher than those of its lives before.
pub fn life() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(1, |since| since.as_micros() as u64)
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    const GOOD: &str = "nodeName: a\nzone: z\nip: 127.0.0.1\ninternalPorts: [7000]\nseeds: [\"127.0.0.1:80\"]\n";

    #[gtest]
    fn given_a_boot_file_that_goes_bad_then_it_is_not_taken_and_taken_again_once_mended() {
        let path = std::env::temp_dir().join(format!("windvalve-settings-{}.yaml", std::process::id()));
        let write = |text: &str| std::fs::write(&path, text).is_ok();
        expect_that!(write(GOOD), eq(true));
        let mut file = SettingsFile::new(path.to_str().unwrap_or_default());
        expect_that!(file.reread().map(|settings| settings.node_name), some(eq("a")));
        expect_that!(write("nodeName: [1, 2"), eq(true));
        expect_that!(file.reread().is_none(), eq(true));
        expect_that!(write(&GOOD.replace("zone: z", "zone: y\nfieldOfTomorrow: 3")), eq(true));
        expect_that!(file.reread().map(|settings| settings.zone), some(eq("y")));
        expect_that!(std::fs::remove_file(&path).is_ok(), eq(true));
        expect_that!(file.is_changed(), eq(true));
    }
}
