#!/usr/bin/env node
import { runCommandLine } from "../dist/index.js";

await runCommandLine(process.argv.slice(2));
