/** Text of a small valid configuration. */
export const sampleText = `generation = 2

[[zones]]
name = "north"
region = "west"

[[models]]
name = "brief"
version = "1"
adapters = ["routes"]

[[engines]]
name = "e1"
zone = "north"
models = ["brief"]

[[services]]
name = "records"
hosts = [{ name = "r1", zone = "north" }]

[[services.routes]]
method = "GET"
path = "/"
repeatable = true

[[teams]]
name = "drivers"
tokenSha256 = "${"a".repeat(64)}"
`;
