import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { DaemonLayout, FleetLayout } from "./layout.js";
import { ManagedProcess } from "./ManagedProcess.js";

const peerKey = "experiment-key-experiment-key-experiment";
const listeningEvent = "event=daemon.listening";
const freeListener = '"127.0.0.1:0"';

/** A daemon that runs as a child process. */
export class DaemonProcess {
  private constructor(
    readonly layout: DaemonLayout,
    readonly process: ManagedProcess,
  ) {}

  /**
   * Starts a daemon and resolves when its listeners are open.
   * @param layout - Name and zone of the daemon.
   * @param fleet - Layout of the fleet.
   * @param platform - Address of the platform.
   * @param seeds - Daemons to contact when the platform cannot be read, as `NAME@ADDRESS`.
   */
  static async start(
    layout: DaemonLayout,
    fleet: FleetLayout,
    platform: string,
    seeds: readonly string[],
  ): Promise<DaemonProcess> {
    const folder = await mkdtemp(join(tmpdir(), "pistachioway-"));
    const settings = join(folder, `${layout.name}.toml`);
    await writeFile(settings, createSettingsText(layout, fleet, platform, seeds));
    try {
      const file = fileURLToPath(new URL("main.js", import.meta.resolve("@pistachioway/daemon")));
      const args = ["--settings", settings];
      const started = await ManagedProcess.start(layout.name, file, args, readListeningLine);
      return new DaemonProcess(layout, started);
    } finally {
      await rm(folder, { recursive: true, force: true });
    }
  }

  /** Gets the address of the listener for callers. */
  get callers(): string {
    return this.process.getAddress("callers") ?? "";
  }

  /** Gets the address of the listener for operators. */
  get operations(): string {
    return this.process.getAddress("operations") ?? "";
  }

  /** Gets the address of the listener for calls between daemons, if the daemon has one. */
  get peers(): string | undefined {
    return this.process.getAddress("peers");
  }

  /** Gets the address of the listener for datagrams, if the daemon has one. */
  get datagrams(): string | undefined {
    return this.process.getAddress("datagrams");
  }
}

function createSettingsText(
  layout: DaemonLayout,
  fleet: FleetLayout,
  platform: string,
  seeds: readonly string[],
): string {
  return [
    `[process]\nname = "${layout.name}"\nzone = "${layout.zone}"`,
    "[listeners]",
    ...["callers", "peers", "datagrams", "operations"].map((key) => `${key} = ${freeListener}`),
    `[platform]\naddress = "${platform}"`,
    `[peers]\nkey = "${peerKey}"\nseeds = ${JSON.stringify(seeds)}`,
    `[experiments]\ndisabledGuards = ${JSON.stringify(fleet.disabledGuards ?? [])}`,
    fleet.extraSettings ?? "",
  ].join("\n");
}

/** Reads the key=value pairs of the line that a daemon logs once its listeners are open. */
function readListeningLine(line: string): Record<string, string> | undefined {
  if (!line.includes(listeningEvent)) {
    return undefined;
  }
  return Object.fromEntries(
    [...line.matchAll(/(\w+)=([^\s"]+)/g)].map(([, key = "", value = ""]) => [key, value]),
  );
}
