import { UpstreamTable, type Upstream } from "@pistachioway/kernel";

/** Creates an upstream with the usual values. */
export function createUpstream(part: Partial<Upstream> = {}): Upstream {
  return {
    id: "e-1",
    service: "engine",
    address: "10.0.0.1:80",
    zone: "north",
    slots: 64,
    state: "ready",
    bornAt: 1,
    sequence: 1,
    ...part,
  };
}

/** Creates a book of engines, named e-1 and so on. */
export function createBook(count: number, zones: readonly string[] = ["north"]): UpstreamTable {
  const book = UpstreamTable.create();
  for (let index = 0; index < count; index += 1) {
    const zone = zones[index % zones.length] ?? "north";
    book.addUpstream(createUpstream({ id: `e-${String(index + 1)}`, zone }), 0);
  }
  return book;
}
