import type { DaemonStatus, EventPage } from "@pistachioway/kernel";

/** Status of a healthy daemon. */
export const sampleStatus: DaemonStatus = {
  process: "d1",
  incarnation: "i1",
  zone: "north",
  version: "0.1.0",
  state: "ready",
  configuration: {
    generation: 1,
    revision: 7,
    digest: "ab".repeat(32),
    acceptedAt: 1_000,
    source: "platform",
  },
  platform: { reachable: true, isReader: true, calls: 3 },
  peers: [{ name: "d2", zone: "south", state: "live", lastHeardAt: 1_000, revision: 7 }],
  engines: [
    {
      name: "e1",
      zone: "north",
      state: "eligible",
      load: 3,
      limit: 5,
      models: ["brief"],
      reason: "",
    },
  ],
  services: [
    { name: "records", hosts: [{ name: "r1", zone: "north", state: "eligible", reason: "" }] },
  ],
  teams: [{ name: "drivers", running: 2, admitted: 10, refused: 1 }],
  acts: { sending: 0, done: 4, unknown: 0, refused: 1 },
  guards: { disabled: [] },
  counters: {},
};

/** Interleaved events of two processes, with a field that needs HTML escaping. */
export const samplePages: readonly EventPage[] = [
  {
    process: "d1",
    incarnation: "i1",
    events: [
      { sequence: 1, at: 100, logical: 0, name: "arrived", fields: { request: "r1" } },
      { sequence: 2, at: 200, logical: 1, name: "answered", fields: { request: "r1", ok: true } },
    ],
    next: 2,
    dropped: 3,
  },
  {
    process: "d2",
    incarnation: "i9",
    events: [
      { sequence: 5, at: 100, logical: 1, name: "forwarded", fields: { note: "<b>a b</b>" } },
      { sequence: 6, at: 200, logical: 0, name: "sent", fields: { attempt: 1 } },
    ],
    next: 6,
    dropped: 0,
  },
];
