import type { EngineOptions } from "@pistachioway/standins";
import { createHash } from "node:crypto";

/** A daemon of a fleet. */
export interface DaemonLayout {
  readonly name: string;
  readonly zone: string;
}

/** A model engine of a fleet. */
export interface EngineLayout {
  readonly name: string;
  readonly zone: string;
  readonly options?: Omit<EngineOptions, "name" | "port">;
}

/** A host of a plain service. */
export interface ServiceLayout {
  readonly name: string;
  readonly service: string;
  readonly zone: string;
}

/** The processes of a fleet and their settings. */
export interface FleetLayout {
  readonly daemons: readonly DaemonLayout[];
  readonly engines: readonly EngineLayout[];
  readonly services: readonly ServiceLayout[];
  readonly teams: readonly string[];
  /** Guards that are switched off in every daemon. */
  readonly disabledGuards?: readonly string[];
  /** Text of the configuration file; generated from the layout when absent. */
  readonly configuration?: string;
  /** Further tables for the settings file of every daemon. */
  readonly extraSettings?: string;
}

const defaultSlots = 32;

/** The model that every engine of a generated configuration serves. */
export const defaultModel = "small";

/**
 * Gets the bearer token of a team in a generated configuration.
 * @param team - Name of the team.
 */
export function getToken(team: string): string {
  return `demo-${team}`;
}

/**
 * Generates a configuration file for a layout. Calls of `GET /lookups` are repeatable, all others
 * are acts.
 * @param layout - Layout of the fleet.
 */
export function createConfigurationText(layout: FleetLayout): string {
  return [
    ...getZones(layout).map((zone) => `[[zones]]\nname = "${zone}"\nregion = "here"\n`),
    `[[models]]\nname = "${defaultModel}"\nversion = "1"\n`,
    ...layout.engines.map(toEngineTable),
    ...getServiceNames(layout).map((name) => toServiceTable(layout, name)),
    ...layout.teams.map(toTeamTable),
  ].join("\n");
}

function getZones(layout: FleetLayout): string[] {
  const hosts = [...layout.daemons, ...layout.engines, ...layout.services];
  return [...new Set(hosts.map(({ zone }) => zone))];
}

function getServiceNames(layout: FleetLayout): string[] {
  return [...new Set(layout.services.map(({ service }) => service))];
}

function toEngineTable(engine: EngineLayout): string {
  const slots = engine.options?.slots ?? defaultSlots;
  return [
    "[[engines]]",
    `name = "${engine.name}"`,
    `zone = "${engine.zone}"`,
    `models = ["${defaultModel}"]`,
    `slots = ${String(slots)}\n`,
  ].join("\n");
}

function toServiceTable(layout: FleetLayout, name: string): string {
  const hosts = layout.services
    .filter(({ service }) => service === name)
    .map((host) => `{ name = "${host.name}", zone = "${host.zone}" }`);
  return [
    "[[services]]",
    `name = "${name}"`,
    `hosts = [${hosts.join(", ")}]`,
    'routes = [{ method = "GET", path = "/lookups", repeatable = true }]\n',
  ].join("\n");
}

function toTeamTable(team: string): string {
  const hash = createHash("sha256").update(getToken(team)).digest("hex");
  return `[[teams]]\nname = "${team}"\ntokenSha256 = "${hash}"\n`;
}
