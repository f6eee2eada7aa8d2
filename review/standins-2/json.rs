//! A small JSON reader.

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    pub fn parse(bytes: &[u8]) -> Option<Value> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Value> {
        let Value::Table(fields) = self else { return None };
        fields.iter().find(|(known, _)| known == name).map(|(_, value)| value)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Value::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Value] {
        match self.get(name) {
            Some(Value::List(values)) => values,
            _ => &[],
        }
    }
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

    fn take(&mut self, text: &str) -> Option<()> {
        self.bytes[self.at..].starts_with(text.as_bytes()).then(|| self.at += text.len())
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'n' => self.take("null").map(|()| Value::Null),
            b't' => self.take("true").map(|()| Value::Bool(true)),
            b'f' => self.take("false").map(|()| Value::Bool(false)),
            b'"' => self.string().map(Value::Text),
            b'[' => self.list(),
            b'{' => self.table(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Value> {
        let start = self.at;
        while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.bytes[start..self.at]).ok()?.parse().ok().map(Value::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
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
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            self.at += 4;
                            let symbol = char::from_u32(code.ok()?).unwrap_or('?');
                            text.extend(symbol.to_string().bytes());
                        }
                        other => text.push(other),
                    }
                }
                byte => text.push(byte),
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.take("[")?;
        let mut values = Vec::new();
        self.skip_space();
        if self.take("]").is_some() {
            return Some(Value::List(values));
        }
        loop {
            values.push(self.value()?);
            self.skip_space();
            if self.take("]").is_some() {
                return Some(Value::List(values));
            }
            self.take(",")?;
        }
    }

    fn table(&mut self) -> Option<Value> {
        self.take("{")?;
        let mut fields = Vec::new();
        self.skip_space();
        if self.take("}").is_some() {
            return Some(Value::Table(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.skip_space();
            self.take(":")?;
            fields.push((name, self.value()?));
            self.skip_space();
            if self.take("}").is_some() {
                return Some(Value::Table(fields));
            }
            self.take(",")?;
        }
    }
}

/// A text as JSON.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for symbol in text.chars() {
        match symbol {
            '"' | '\\' => quoted.extend(['\\', symbol]),
            symbol if symbol < ' ' => quoted.push_str(&format!("\\u{:04x}", symbol as u32)),
            symbol => quoted.push(symbol),
        }
    }
    quoted.push('"');
    quoted
}
