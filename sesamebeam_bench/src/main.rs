//! Load generator, policy replay and capacity table.

fn main() {}
