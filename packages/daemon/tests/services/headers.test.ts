import { suite } from "uvu";
import * as assert from "uvu/assert";
import { getEndToEndHeaders } from "../../dist/services/headers.js";

const test = suite("headers");

test("drops hop-by-hop headers, including named ones, and headers that only the daemon may set", () => {
  const forwarded = getEndToEndHeaders({
    connection: "close, x-secret-hop",
    "x-secret-hop": "1",
    "transfer-encoding": "chunked",
    authorization: "Bearer t",
    "x-forwarded-for": "10.0.0.1",
    "x-peer-mac": "forged",
    "x-team": "other",
    "x-outcome": "not-run",
    "content-type": "text/plain",
    accept: "*/*",
  });
  assert.equal(forwarded, { "content-type": "text/plain", accept: "*/*" });
});

test.run();
