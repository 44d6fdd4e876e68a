//! A small JSON reader and the base64 code, so that the harness needs no package.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut reader = Reader { bytes, at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(entries) => entries,
            _ => &[],
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn peek(&mut self) -> Option<u8> {
        self.space();
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes.get(self.at..self.at + word.len())? == word.as_bytes();
        found.then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                if self.peek()? == b'}' {
                    self.at += 1;
                    return Some(Json::Object(fields));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.insert(name, self.value()?);
                    match self.peek()? {
                        b',' => self.at += 1,
                        b'}' => {
                            self.at += 1;
                            return Some(Json::Object(fields));
                        }
                        _ => return None,
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut entries = Vec::new();
                if self.peek()? == b']' {
                    self.at += 1;
                    return Some(Json::List(entries));
                }
                loop {
                    entries.push(self.value()?);
                    match self.peek()? {
                        b',' => self.at += 1,
                        b']' => {
                            self.at += 1;
                            return Some(Json::List(entries));
                        }
                        _ => return None,
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let from = self.at;
                let is_part =
                    |byte: &u8| matches!(byte, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E');
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'b' => text.push(8),
                        b'f' => text.push(12),
                        b'u' => {
                            let digits =
                                std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let letter = char::from_u32(code).unwrap_or('\u{fffd}');
                            text.extend(letter.to_string().bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for part in bytes.chunks(3) {
        let number = part.iter().enumerate().fold(0u32, |sum, (index, byte)| {
            sum | u32::from(*byte) << (16 - 8 * index)
        });
        for index in 0..4 {
            match index <= part.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
