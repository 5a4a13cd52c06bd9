use serde_json::Value;

/// Applies a JSON merge patch (RFC 7396) to a value: null removes a field, an object is merged into the field, and any
/// other value replaces it.
pub fn merge(target: &mut Value, patch: &Value) {
    match patch {
        Value::Object(fields) => {
            if !target.is_object() {
                *target = Value::Object(Default::default());
            }
            let target_fields = target.as_object_mut().expect("made an object above");
            for (k, v) in fields {
                if v.is_null() {
                    target_fields.remove(k);
                } else {
                    merge(target_fields.entry(k.clone()).or_insert(Value::Null), v);
                }
            }
        }
        other => *target = other.clone(),
    }
}
