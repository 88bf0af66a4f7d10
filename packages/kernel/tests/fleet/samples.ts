import type { MemberState } from "@pistachioway/kernel";

/** Creates a state of a daemon with default values. */
export function createState(changes: Partial<MemberState> = {}): MemberState {
  return {
    name: "d-2",
    address: "10.0.0.2:9",
    operations: "10.0.0.2:8",
    zone: "north",
    incarnation: 1,
    sequence: 1,
    sampledAt: 0,
    version: 4,
    confirmedAt: -500,
    running: new Map(),
    unreachedServices: new Set(),
    ...changes,
  };
}
