import { suite } from "uvu";
import { addQuarantineTests } from "./quarantinePlays.js";

const test = suite("quarantine of contents over a fleet");

addQuarantineTests(test, "prompt block", 5);
addQuarantineTests(test, "request", 5);

test.run();
