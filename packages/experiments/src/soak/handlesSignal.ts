import { readFileSync } from "node:fs";
import { constants } from "node:os";

/** The signals that a process handles, in hexadecimal; the lowest bit is signal 1. */
const handledSignalsPattern = /^SigCgt:\s*([0-9a-f]+)$/m;

/**
 * Checks whether a process has a handler for a signal. Where the kernel does not tell, it counts as handled.
 * @param pid - Id of the process.
 * @param signal - Name of the signal.
 */
export function handlesSignal(pid: number, signal: NodeJS.Signals): boolean {
  const signals = readHandledSignals(pid);
  const bit = BigInt(constants.signals[signal] - 1);
  return signals === undefined || ((signals >> bit) & 1n) === 1n;
}

function readHandledSignals(pid: number): bigint | undefined {
  try {
    const status = readFileSync(`/proc/${String(pid)}/status`, "utf8");
    const digits = handledSignalsPattern.exec(status)?.[1];
    return digits === undefined ? undefined : BigInt(`0x${digits}`);
  } catch {
    return undefined;
  }
}
