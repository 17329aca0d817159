//! Minimal JSON reader, enough for the writes of a host to the store.

/// A JSON value. Numbers keep their text.
#[derive(Clone, Debug)]
pub enum Value {
    Null,
    Bool,
    Number(String),
    Text(String),
    List,
    Object(Vec<(String, Value, String)>),
}

impl Value {
    /// Returns the field of an object.
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Self::Object(fields) => fields.iter().find(|it| it.0 == name).map(|it| &it.1),
            _ => None,
        }
    }

    /// Returns the bytes of a field of an object.
    pub fn raw(&self, name: &str) -> Option<&str> {
        match self {
            Self::Object(fields) => fields.iter().find(|it| it.0 == name).map(|it| &*it.2),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(it) => Some(it),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(it) => it.parse().ok(),
            _ => None,
        }
    }
}

/// Parses a JSON text.
pub fn parse(text: &str) -> Option<Value> {
    let mut at = 0;
    value(text.as_bytes(), text, &mut at)
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], text: &str, at: &mut usize) -> Option<Value> {
    skip_space(bytes, at);
    match bytes.get(*at)? {
        b'{' => object(bytes, text, at),
        b'[' => list(bytes, text, at),
        b'"' => string(bytes, at).map(Value::Text),
        b't' | b'f' => {
            let length = if bytes[*at] == b't' { 4 } else { 5 };
            *at += length;
            Some(Value::Bool)
        }
        b'n' => {
            *at += 4;
            Some(Value::Null)
        }
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|it| b"+-.eE0123456789".contains(it))
            {
                *at += 1;
            }
            (*at > start).then(|| Value::Number(text[start..*at].to_owned()))
        }
    }
}

fn object(bytes: &[u8], text: &str, at: &mut usize) -> Option<Value> {
    *at += 1;
    let mut fields = Vec::new();
    loop {
        skip_space(bytes, at);
        match bytes.get(*at)? {
            b'}' => {
                *at += 1;
                return Some(Value::Object(fields));
            }
            b',' => *at += 1,
            _ => {
                let name = string(bytes, at)?;
                skip_space(bytes, at);
                *at += 1;
                skip_space(bytes, at);
                let start = *at;
                let field = value(bytes, text, at)?;
                fields.push((name, field, text[start..*at].to_owned()));
            }
        }
    }
}

fn list(bytes: &[u8], text: &str, at: &mut usize) -> Option<Value> {
    *at += 1;
    loop {
        skip_space(bytes, at);
        match bytes.get(*at)? {
            b']' => {
                *at += 1;
                return Some(Value::List);
            }
            b',' => *at += 1,
            _ => {
                value(bytes, text, at)?;
            }
        }
    }
}

/// Reads a string. Escapes other than of quotes and backslashes stay as they are.
fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut result = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(result).ok();
            }
            b'\\' => {
                result.push(*bytes.get(*at + 1)?);
                *at += 2;
            }
            it => {
                result.push(it);
                *at += 1;
            }
        }
    }
}
