//! A small JSON reader, enough for the bodies of the platform's protocol.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a whole document; `None` if it is not valid.
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader {
            text: text.as_bytes(),
            at: 0,
        };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == reader.text.len()).then_some(value)
    }

    /// A field of a table.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    /// The text, or nothing if the value is none.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// The whole number, or 0.
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    /// The entries of a list.
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        self.skip_space();
        (self.text.get(self.at) == Some(&expected)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.text.get(self.at..end)? == word.as_bytes()).then(|| self.at = end)?;
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.text.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Json::List(list));
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut table = BTreeMap::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Table(table));
                }
                loop {
                    self.skip_space();
                    let name = self.string()?;
                    self.take(b':')?;
                    table.insert(name, self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Json::Table(table));
                    }
                }
            }
            _ => {
                let start = self.at;
                while self
                    .text
                    .get(self.at)
                    .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
                {
                    self.at += 1;
                }
                let number = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                number.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        (self.text.get(self.at) == Some(&b'"')).then(|| self.at += 1)?;
        let mut bytes = Vec::new();
        loop {
            match *self.text.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(bytes).ok();
                }
                b'\\' => {
                    let escaped = *self.text.get(self.at + 1)?;
                    self.at += 2;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            let code = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            let mut buffer = [0; 4];
                            let text = char::from_u32(code)?.encode_utf8(&mut buffer);
                            bytes.extend_from_slice(text.as_bytes());
                            self.at += 4;
                        }
                        other => bytes.push(other),
                    }
                }
                byte => {
                    bytes.push(byte);
                    self.at += 1;
                }
            }
        }
    }
}

/// Encodes bytes as base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0u8; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(char::from(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63])),
                false => text.push('='),
            }
        }
    }
    text
}
