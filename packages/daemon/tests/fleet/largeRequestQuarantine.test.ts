import { suite } from "uvu";
import { addQuarantineTests } from "./quarantinePlays.js";

const test = suite("quarantine of contents over a fleet");

addQuarantineTests(test, "request", 79);

test.run();
