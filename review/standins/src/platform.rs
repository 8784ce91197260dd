//! The platform: `POST /promotion`, with fences checked for each service.
use crate::fleet::Fleet;
use crate::http::{header, length, read_head, text_field};
use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};

/// From the call until the named database leads.
const PROMOTE_MS: u64 = 600;

pub fn serve(address: &str, fleet: &Arc<Fleet>) -> std::io::Result<()> {
    let (listener, fleet) = (TcpListener::bind(address)?, fleet.clone());
    let fences: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (fleet, fences) = (fleet.clone(), fences.clone());
            std::thread::spawn(move || drop(answer(stream, &fleet, &fences)));
        }
    });
    Ok(())
}

fn answer(
    mut stream: std::net::TcpStream,
    fleet: &Arc<Fleet>,
    fences: &Mutex<BTreeMap<String, u64>>,
) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let (first, headers) = read_head(&mut reader)?;
    let mut body = vec![0; length(&headers)];
    reader.read_exact(&mut body)?;
    let body = String::from_utf8_lossy(&body).into_owned();
    let service = text_field(&body, "destination").unwrap_or_default();
    let id = text_field(&body, "id").unwrap_or_default();
    let fence: u64 = header(&headers, "x-fence-number").and_then(|text| text.parse().ok()).unwrap_or(0);
    let is_late = {
        let mut fences = fences.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let seen = fences.entry(service.clone()).or_default();
        let is_late = fence < *seen;
        *seen = fence.max(*seen);
        is_late
    };
    let status = if is_late || !fleet.is_running(&id) { 409 } else { 200 };
    let holder = header(&headers, "x-duty-holder").unwrap_or_default();
    fleet.record.tell(&format!("platform: {first}: {id} of {service}, fence {fence} of {holder}: {status}"));
    if status == 200 && fleet.primary(&service).as_deref() != Some(&id) {
        let fleet = fleet.clone();
        std::thread::spawn(move || {
            crate::sleep_ms(PROMOTE_MS);
            fleet.promote(&service, &id);
        });
    }
    write!(stream, "HTTP/1.1 {status} X\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}")
}
