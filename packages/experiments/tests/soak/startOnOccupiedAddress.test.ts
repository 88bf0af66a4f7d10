import { suite } from "uvu";
import { runSoakOrThrow } from "./runSoak.js";

const test = suite("soak: starts while another socket has an address");

// Guards against routers that start half and go on so for good (FAULT).
test("every router that starts so is ready and serves afterwards", () =>
  runSoakOrThrow(["--seed", "9201", "--seconds", "6", "--kinds", "address-in-use"]));

test.run();
