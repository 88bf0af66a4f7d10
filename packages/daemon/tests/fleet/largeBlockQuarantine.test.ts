import { suite } from "uvu";
import { addQuarantineTests } from "./quarantinePlays.js";

const test = suite("quarantine of contents over a fleet");

addQuarantineTests(test, "prompt block", 79);

test.run();
