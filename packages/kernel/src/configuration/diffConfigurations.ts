/** One difference between two configurations; `before` and `after` are plain JSON values. */
export interface ConfigurationChange {
  readonly kind: "added" | "removed" | "changed";
  /** Path of the value, with names in place of array positions, as in `engines.e1.weight`. */
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

type Table = Readonly<Record<string, unknown>>;

/**
 * Lists what differs between two configurations, in the order of the file.
 * Named items are compared by name, so that their order does not matter.
 * @param before - Configuration to compare with.
 * @param after - Configuration to compare.
 */
export function diffConfigurations(before: object, after: object): ConfigurationChange[] {
  return diffValues("", before, after);
}

function diffValues(path: string, before: unknown, after: unknown): ConfigurationChange[] {
  if (before === undefined || after === undefined) {
    return before === after ? [] : [getWholeChange(path, before, after)];
  }
  const beforeTable = getTable(before);
  const afterTable = getTable(after);
  if (beforeTable !== undefined && afterTable !== undefined) {
    return diffTables(path, beforeTable, afterTable);
  }
  const isEqual = JSON.stringify(before) === JSON.stringify(after);
  return isEqual ? [] : [{ kind: "changed", path, before, after }];
}

function getWholeChange(path: string, before: unknown, after: unknown): ConfigurationChange {
  return before === undefined ? { kind: "added", path, after } : { kind: "removed", path, before };
}

function diffTables(path: string, before: Table, after: Table): ConfigurationChange[] {
  const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...keys].flatMap((key) => {
    const keyPath = path === "" ? key : `${path}.${key}`;
    return diffValues(keyPath, before[key], after[key]);
  });
}

/** Gets a table as it is, and an array of items with distinct keys as a table by those keys. */
function getTable(value: unknown): Table | undefined {
  if (!Array.isArray(value)) {
    return isTable(value) ? value : undefined;
  }
  const items: readonly unknown[] = value;
  const entries = items.map((item) => [getItemKey(item), item] as const);
  const areKeyed = entries.every(([key]) => key !== undefined);
  return areKeyed ? Object.fromEntries(entries) : undefined;
}

function getItemKey(item: unknown): string | undefined {
  if (!isTable(item)) {
    return undefined;
  }
  if (typeof item.name === "string") {
    return item.name;
  }
  const isRoute = typeof item.method === "string" && typeof item.path === "string";
  return isRoute ? `${String(item.method)} ${String(item.path)}` : undefined;
}

function isTable(value: unknown): value is Table {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
