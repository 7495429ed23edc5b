//! CBOR values: building, reading, and the size of their JSON form.

pub use ciborium::Value;

/// Builds a map.
pub fn map(pairs: Vec<(&str, Value)>) -> Value {
    let pair = |(key, value): (&str, Value)| (Value::Text(key.to_string()), value);
    Value::Map(pairs.into_iter().map(pair).collect())
}

/// Builds a text.
pub fn text(value: &str) -> Value {
    Value::Text(value.to_string())
}

/// Builds an integer.
pub fn int(value: u64) -> Value {
    Value::Integer(value.into())
}

/// A field of a map.
pub fn get<'a>(value: &'a Value, key: &str) -> Option<&'a Value> {
    let Value::Map(pairs) = value else {
        return None;
    };
    let is_key = |(name, _): &&(Value, Value)| matches!(name, Value::Text(text) if text == key);
    pairs.iter().find(is_key).map(|(_, value)| value)
}

/// A field that is a text.
pub fn get_text<'a>(value: &'a Value, key: &str) -> Option<&'a str> {
    match get(value, key)? {
        Value::Text(text) => Some(text),
        _ => None,
    }
}

/// A field that is an integer.
pub fn get_int(value: &Value, key: &str) -> Option<u64> {
    match get(value, key)? {
        Value::Integer(number) => u64::try_from(*number).ok(),
        _ => None,
    }
}

/// A field that is a number.
pub fn get_number(value: &Value, key: &str) -> Option<f64> {
    match get(value, key)? {
        Value::Float(number) => Some(*number),
        Value::Integer(number) => Some(i128::from(*number) as f64),
        _ => None,
    }
}

/// The elements of a field that is a list.
pub fn get_list<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    match get(value, key) {
        Some(Value::Array(items)) => items,
        _ => &[],
    }
}

/// Encodes a value.
pub fn encode(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    let _ = ciborium::ser::into_writer(value, &mut bytes);
    bytes
}

/// Decodes a value.
pub fn decode(bytes: &[u8]) -> Option<Value> {
    ciborium::de::from_reader(bytes).ok()
}

/// The JSON form of a value, for the record and for size limits.
pub fn json(value: &Value) -> String {
    match value {
        Value::Null => "null".into(),
        Value::Bool(flag) => flag.to_string(),
        Value::Integer(number) => i128::from(*number).to_string(),
        Value::Float(number) => format!("{number:?}"),
        Value::Text(text) => format!("{text:?}"),
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(json).collect();
            format!("[{}]", items.join(","))
        }
        Value::Map(pairs) => {
            let pair = |(key, value): &(Value, Value)| format!("{}:{}", json(key), json(value));
            let pairs: Vec<String> = pairs.iter().map(pair).collect();
            format!("{{{}}}", pairs.join(","))
        }
        other => format!("{other:?}"),
    }
}
