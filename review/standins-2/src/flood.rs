//! One rude client in each of two zones sends statements without waiting for answers, below the rate of half a machine's link.
use crate::day::{Day, Verdict};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// `linkMbps` is 1000; the client sends at no more than 400 Mbit/s.
const BYTES_PER_S: f64 = 50e6;
/// How long one rude session lasts at the most.
const SESSION: Duration = Duration::from_secs(9);
const PIECE: usize = 64 << 10;
/// The rule: on two machines, three times each.
const MACHINES: usize = 2;
const ENDS: usize = 3;
const DAY: Duration = Duration::from_secs(45);

/// Sends statements for as long as a session lasts and the node takes them; nothing is read.
fn flood(front: &str, who: &str) -> Option<usize> {
    let mut stream = TcpStream::connect_timeout(&front.parse().ok()?, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    stream.write_all(format!("SETUP ledger-db {who}\r\n").as_bytes()).ok()?;
    stream.read_exact(&mut [0; 4]).ok()?;
    stream.set_write_timeout(Some(Duration::from_millis(500))).ok()?;
    let started = Instant::now();
    let (mut sent, mut number) = (0usize, 0u64);
    while started.elapsed() < SESSION {
        let mut piece = Vec::with_capacity(PIECE + 64);
        while piece.len() < PIECE {
            number += 1;
            piece.extend_from_slice(format!("QUERY {who}{number:010x} READ thing-1\r\n").as_bytes());
        }
        // A node that stops reading holds the writer up: the session ends then.
        match stream.write_all(&piece) {
            Ok(()) => sent += piece.len(),
            Err(_) => break,
        }
        let ahead = sent as f64 / BYTES_PER_S - started.elapsed().as_secs_f64();
        if ahead > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(ahead));
        }
    }
    Some(sent)
}

pub fn run(day: &mut Day, has_rude_clients: bool) -> Verdict {
    std::thread::sleep(Duration::from_secs(3));
    for machine in 0..MACHINES {
        if !has_rude_clients {
            break;
        }
        let (world, front) = (day.world.clone(), day.fleet.fronts[machine].clone());
        std::thread::spawn(move || {
            for session in 0.. {
                if world.lock().is_over {
                    return;
                }
                if let Some(sent) = flood(&front, &format!("rude{machine}{session:02}")) {
                    world.record.tell(&format!("a rude session at machine {machine} has sent {} MB", sent / 1_000_000));
                }
                std::thread::sleep(Duration::from_millis(500));
            }
        });
    }
    let (started, mut ends) = (Instant::now(), [0usize; 3]);
    let is_broken = |ends: &[usize; 3]| ends.iter().filter(|count| **count >= ENDS).count() >= MACHINES;
    while started.elapsed() < DAY && !is_broken(&ends) {
        for (machine, megabytes) in day.fleet.watch_memory() {
            ends[machine] += 1;
            day.world.record.tell(&format!(
                "platform: the access process of machine {machine} has {megabytes} MB, over its 260, and is killed ({} times)",
                ends[machine]
            ));
        }
        std::thread::sleep(Duration::from_millis(20));
        if !has_rude_clients && started.elapsed() > Duration::from_secs(20) {
            break;
        }
    }
    day.world.record.tell(&format!("access processes killed for their memory, by machine: {ends:?}"));
    if is_broken(&ends) {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
