//! Arrays of RESP, which the platform's protocol and the endpoints' protocol consist of.

use std::io::BufRead;

pub fn resp_array(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for w in words {
        out.extend(format!("${}\r\n", w.len()).bytes());
        out.extend_from_slice(w);
        out.extend(b"\r\n");
    }
    out
}

/// One array; none at the end of the stream.
pub fn read_resp_array(from: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let number = |from: &mut dyn BufRead| -> Option<usize> {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|n| *n > 0)?;
        line.trim_end().get(1..)?.parse().ok()
    };
    let count = number(from)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let mut word = vec![0; number(from)? + 2];
        from.read_exact(&mut word).ok()?;
        word.truncate(word.len() - 2);
        words.push(word);
    }
    Some(words)
}
