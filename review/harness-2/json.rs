//! A small JSON reader and writer for the messages of the platform.

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
        reader.skip_space();
        (reader.at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

/// A string as a JSON literal.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &[u8]) -> Option<()> {
        let is_next = self.bytes[self.at..].starts_with(word);
        is_next.then(|| self.at += word.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match *self.bytes.get(self.at)? {
            b'n' => self.take(b"null").map(|()| Json::Null),
            b't' => self.take(b"true").map(|()| Json::Bool(true)),
            b'f' => self.take(b"false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.items(),
            b'{' => self.fields(),
            _ => {
                let rest = &self.bytes[self.at..];
                let length = rest
                    .iter()
                    .position(|b| !b"+-.eE0123456789".contains(b))
                    .unwrap_or(rest.len());
                let number = std::str::from_utf8(&rest[..length]).ok()?.parse().ok()?;
                self.at += length;
                Some(Json::Number(number))
            }
        }
    }

    fn items(&mut self) -> Option<Json> {
        self.at += 1;
        let mut list = Vec::new();
        loop {
            self.skip_space();
            if self.take(b"]").is_some() {
                return Some(Json::List(list));
            }
            if !list.is_empty() {
                self.take(b",")?;
            }
            list.push(self.value()?);
        }
    }

    fn fields(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = BTreeMap::new();
        loop {
            self.skip_space();
            if self.take(b"}").is_some() {
                return Some(Json::Object(fields));
            }
            if !fields.is_empty() {
                self.take(b",")?;
                self.skip_space();
            }
            let name = self.string()?;
            self.skip_space();
            self.take(b":")?;
            fields.insert(name, self.value()?);
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b"\"")?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let c = char::from_u32(code).unwrap_or('\u{fffd}');
                            out.extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}
