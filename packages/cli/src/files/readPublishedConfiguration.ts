import { getRoutingFaults, type Routing } from "@pistachioway/kernel";
import { readTextFile } from "./textFiles.js";

/** A published configuration as routers decode it. */
export interface PublishedConfiguration {
  /** Undefined when routers would reject the whole configuration. */
  readonly routing: Routing | undefined;
  /** Entries that routers would ignore or could not serve, one sentence each. */
  readonly faults: readonly string[];
}

/**
 * Reads a configuration published for routers.
 * @param path - File with the published text.
 * @throws FileError when the file cannot be read.
 */
export async function readPublishedConfiguration(path: string): Promise<PublishedConfiguration> {
  const text = await readTextFile(path);
  // Imported on demand, so that the other commands don't load the platform client.
  const { decodeConfiguration } = await import("@pistachioway/platform");
  return decodeConfiguration(text).match<PublishedConfiguration>({
    Ok: ({ routing, faults }) => ({ routing, faults: [...faults, ...getRoutingFaults(routing)] }),
    Err: ({ message }) => ({ routing: undefined, faults: [message] }),
  });
}
