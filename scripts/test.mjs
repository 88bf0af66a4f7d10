/**
 * Runs each compiled test file in its own process, prints the output of failed files and ends with
 * the names of the failed tests and the line "N passed, N failed". A failing file that KNOWN-RED.txt
 * lists is printed but not counted as a failure of the run.
 */
import { spawn } from "node:child_process";
import { existsSync, readFileSync, readdirSync } from "node:fs";
import { availableParallelism } from "node:os";
import { join, relative } from "node:path";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const maxParallelFiles = Math.max(2, Math.floor(availableParallelism() / 2));
const fileTimeoutMilliseconds = 300_000;

/** Lists the compiled test files below a folder. */
function listTestFiles(folder) {
  if (!existsSync(folder)) {
    return [];
  }
  return readdirSync(folder, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith(".test.js"))
    .map((entry) => join(entry.parentPath ?? entry.path, entry.name));
}

/** Runs one test file and resolves to its counts and output. */
function runFile(file) {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, [file], { cwd: root, stdio: ["ignore", "pipe", "pipe"] });
    const timer = setTimeout(() => child.kill("SIGKILL"), fileTimeoutMilliseconds);
    let output = "";
    child.stdout.on("data", (chunk) => (output += chunk));
    child.stderr.on("data", (chunk) => (output += chunk));
    child.on("close", (code) => {
      clearTimeout(timer);
      resolve(toResult(file, code, output));
    });
  });
}

/** Parses uvu's totals from the output of a test file. */
function toResult(file, code, output) {
  const total = sumMatches(output, /Total:\s+(\d+)/g);
  const passed = sumMatches(output, /Passed:\s+(\d+)/g);
  const failedOutsideTests = code !== 0 && total === passed;
  const failed = total - passed + (failedOutsideTests || total === 0 ? 1 : 0);
  return { file: relative(root, file), passed, failed, output };
}

function sumMatches(text, pattern) {
  return [...text.matchAll(pattern)].reduce((sum, match) => sum + Number(match[1]), 0);
}

function readKnownRed() {
  const path = join(root, "KNOWN-RED.txt");
  return existsSync(path) ? readFileSync(path, "utf8") : "";
}

async function main() {
  const filters = process.argv.slice(2);
  const workspaces = readdirSync(join(root, "packages")).map((name) => join("packages", name));
  const files = [...workspaces, "platform"]
    .flatMap((workspace) => listTestFiles(join(root, workspace, "dist-tests")))
    .filter((file) => filters.length === 0 || filters.some((filter) => file.includes(filter)))
    .sort();
  const knownRed = readKnownRed();
  const queue = [...files];
  const results = [];
  const worker = async () => {
    for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
      results.push(await runFile(file));
    }
  };
  await Promise.all(Array.from({ length: maxParallelFiles }, worker));
  report(results, knownRed);
}

/** Prints a line for each file, the output of known red files and, last, that of files that failed. */
function report(results, knownRed) {
  const outcomes = results
    .sort((a, b) => a.file.localeCompare(b.file))
    .map((result) => toOutcome(result, knownRed));
  for (const { state, source, passed } of outcomes) {
    console.log(`${state} ${source} (${passed} passed)`);
  }
  printOutputs(outcomes.filter(({ state }) => state === "known red"));
  const failedOutcomes = outcomes.filter(({ state }) => state === "FAILED");
  printOutputs(failedOutcomes);
  // What stores the output may cut its middle, but keeps its end.
  for (const { source, names } of failedOutcomes) {
    console.log(`FAILED ${source}: ${names.join("; ") || "outside of its tests"}`);
  }
  const passed = outcomes.reduce((sum, outcome) => sum + outcome.passed, 0);
  const failed = failedOutcomes.reduce((sum, outcome) => sum + outcome.failed, 0);
  console.log(`${passed} passed, ${failed} failed`);
  process.exitCode = failed > 0 || passed === 0 ? 1 : 0;
}

/** Adds the source file, the names of the failed tests and the state `ok`, `known red` or `FAILED`. */
function toOutcome(result, knownRed) {
  const source = result.file.replace("dist-tests", "tests").replace(/\.js$/, ".ts");
  const names = [...result.output.matchAll(/FAIL\s+[^"]*"(.*)"\s*$/gm)].map((match) => match[1]);
  const outcome = { ...result, source, names };
  return { ...outcome, state: getState(outcome, knownRed) };
}

function getState({ source, names, failed }, knownRed) {
  if (failed === 0) {
    return "ok";
  }
  const areAllListed = names.every((name) => knownRed.includes(`name: ${name}\n`));
  const isListed = knownRed.includes(`test: ${source}\n`) && names.length === failed;
  return isListed && areAllListed ? "known red" : "FAILED";
}

function printOutputs(outcomes) {
  for (const { state, source, output } of outcomes) {
    console.log(`\n${state} ${source}\n${output}`);
  }
}

await main();
