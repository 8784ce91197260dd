//! The platform (`POST /promotion`, with checked fences) and the beats of the databases.
use crate::http;
use crate::world::World;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// From an accepted call until the database leads.
const PROMOTE: Duration = Duration::from_millis(300);
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Serves the platform's address. It works on a call once `delay` has passed since the call came.
pub fn serve(world: World, listener: TcpListener, delay: Duration) {
    for stream in listener.incoming().flatten() {
        let world = world.clone();
        std::thread::spawn(move || handle(&world, stream, delay));
    }
}

fn handle(world: &World, mut stream: TcpStream, delay: Duration) {
    let Some((head, body)) = http::read_call(&mut stream) else { return };
    let service = http::field(&body, "destination").unwrap_or_default();
    let id = http::field(&body, "id").unwrap_or_default();
    let fence: u64 = http::header(&head, "x-fence-number").and_then(|fence| fence.parse().ok()).unwrap_or(0);
    let holder = http::header(&head, "x-duty-holder").unwrap_or("-").to_owned();
    let call = format!("promotion of {id} for {service}, fence {fence}, holder {holder}");
    world.record.line(&format!("platform gets a call: {call}"));
    world.lock().calls.push((service.clone(), id.clone()));
    std::thread::sleep(delay);
    let (status, is_new) = {
        let mut state = world.lock();
        let seen = state.fences.entry(service.clone()).or_default();
        let is_old = fence < *seen;
        *seen = fence.max(*seen);
        let named = state.databases.iter().find(|database| database.id == id && database.service == service);
        match named.filter(|database| database.is_up && !is_old) {
            None => (409, false),
            Some(database) => (200, !database.is_primary),
        }
    };
    world.record.line(&format!("platform answers {status}: {call}"));
    http::respond(&mut stream, status);
    if is_new {
        std::thread::sleep(PROMOTE);
        world.promote(&id);
    }
}

/// Sends the beats of one database to one control node after the other, a change of its role at once.
pub fn beat(world: World, id: String, controls: Vec<String>, mut at: usize) {
    let mut last: Option<(Instant, bool)> = None;
    while !world.lock().is_over {
        std::thread::sleep(Duration::from_millis(10));
        let Some(Some((body, is_primary))) = world.with(&id, |database| {
            let is_due = last.is_none_or(|(at, told)| at.elapsed() >= HEARTBEAT || told != database.is_primary);
            (database.is_up && is_due).then(|| {
                database.sequence += 1;
                let role = if database.is_primary { "primary" } else { "replica" };
                let body = format!(
                    "{{\"destination\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"issue\":\"v1\",\"capacity\":10,\
                     \"state\":\"in_service\",\"coldLeftMs\":0,\"dbRole\":\"{role}\",\"sequence\":{}}}",
                    database.service, database.address, database.zone, database.sequence
                );
                (body, database.is_primary)
            })
        }) else {
            continue;
        };
        let path = format!("/instances/{id}");
        match http::call(&controls[at % controls.len()], "PUT", &path, &body) {
            Some((200, _)) => last = Some((Instant::now(), is_primary)),
            answer => {
                world.record.line(&format!("database {id} says PUT {path}: {:?}", answer.map(|answer| answer.0)));
                at += 1;
            }
        }
    }
}
