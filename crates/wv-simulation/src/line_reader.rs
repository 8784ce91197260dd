//! Reads protocol lines from a blocking stream, for databases that run without a simulation.
use std::io::BufRead;

/// Returns the next line without its CR LF, or `None` at the end of the stream; an incomplete last line is dropped.
pub fn read_line(reader: &mut impl BufRead) -> std::io::Result<Option<String>> {
    let mut line = Vec::new();
    while reader.read_until(b'\n', &mut line)? > 0 {
        if let Some((line, _)) = wv_wire_protocol::split_line(&line) {
            return Ok(Some(String::from_utf8_lossy(line).into_owned()));
        }
    }
    Ok(None)
}
