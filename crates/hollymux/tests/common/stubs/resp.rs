//! RESP arrays, which make up the messages of clients and of endpoints.

use std::io::BufRead;

pub fn resp_array(elements: &[&[u8]]) -> Vec<u8> {
    let mut output = format!("*{}\r\n", elements.len()).into_bytes();
    for element in elements {
        output.extend(format!("${}\r\n", element.len()).bytes());
        output.extend_from_slice(element);
        output.extend(b"\r\n");
    }
    output
}

/// Reads one array; `None` at the end of the stream or if the bytes are not an array.
pub fn read_resp_array(input: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let read_length = |input: &mut dyn BufRead| -> Option<usize> {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|length| *length > 0)?;
        line.trim_end().get(1..)?.parse().ok()
    };
    let count = read_length(input)?;
    let mut elements = Vec::new();
    for _ in 0..count {
        let mut element = vec![0; read_length(input)? + 2];
        input.read_exact(&mut element).ok()?;
        element.truncate(element.len() - 2);
        elements.push(element);
    }
    Some(elements)
}
