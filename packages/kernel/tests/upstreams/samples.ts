import { UpstreamTable, type Upstream } from "@pistachioway/kernel";

/** Creates an upstream with default values. */
export function createUpstream(changes: Partial<Upstream> = {}): Upstream {
  return {
    id: "e-1",
    service: "engine",
    address: "10.0.0.1:80",
    zone: "north",
    slots: 64,
    state: "ready",
    softwareVersion: "v1",
    bornAt: 1,
    sequence: 1,
    ...changes,
  };
}

/** Creates a table of engines with the ids e-1, e-2 and so on, in alternating zones. */
export function createTable(count: number, zones: readonly string[] = ["north"]): UpstreamTable {
  const table = UpstreamTable.create();
  for (let index = 0; index < count; index += 1) {
    const zone = zones[index % zones.length] ?? "north";
    table.addUpstream(createUpstream({ id: `e-${String(index + 1)}`, zone }), 0);
  }
  return table;
}
