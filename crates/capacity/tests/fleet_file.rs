//! Validation of the fleet file: invalid values are rejected, and errors name the fields of the
//! file.

use hollymux_capacity::Fleet;

#[test]
fn an_invalid_fleet_file_is_rejected_with_an_error_for_each_field() {
    let text = "{offices: [{name: 'a', hub: 'x', boxes: 0, link_in_flows: 0, cores: 0},
        {name: 'a', hub: 'h', boxes: 1, link_in_flows: 1e999}],
        hubs: [{name: 'h', link_flows: -1}], clients: {tries: 99}}";
    let faults = hollymux_config_file::read::<Fleet>(text).unwrap_err();
    let fields: Vec<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
    for field in [
        "offices[0].hub",
        "offices[0].boxes",
        "offices[0].link_in_flows",
        "offices[0].cores",
        "offices[1].name",
        "offices[1].link_in_flows",
        "hubs[0].link_flows",
        "clients.tries",
    ] {
        assert!(fields.contains(&field), "no error for {field} in {faults:?}");
    }
}
