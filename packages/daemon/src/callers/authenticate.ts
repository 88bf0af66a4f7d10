import type { Team } from "@pistachioway/kernel";
import { createHash, timingSafeEqual } from "node:crypto";
import { Problem } from "../errors/index.js";
import type { ConfigurationIndex } from "../state/index.js";

const bearerPattern = /^Bearer ([\x21-\x7e]{1,512})$/i;

/**
 * Gets the team of a bearer token.
 * @param authorization - Value of the authorization header.
 * @param configuration - Configuration in force.
 * @throws Problem `unauthorized` when the token is missing or belongs to no team.
 */
export function getTeamOrThrow(
  authorization: string | undefined,
  configuration: ConfigurationIndex,
): Team {
  const token = bearerPattern.exec(authorization ?? "")?.[1];
  if (token === undefined) {
    throw Problem.create("unauthorized", "the request carries no bearer token");
  }
  const hash = createHash("sha256").update(token).digest("hex");
  const team = configuration.getTeam(hash);
  if (team === undefined || !isSameHash(team.tokenSha256, hash)) {
    throw Problem.create("unauthorized", "the bearer token belongs to no team");
  }
  return team;
}

function isSameHash(expected: string, actual: string): boolean {
  return timingSafeEqual(Buffer.from(expected, "hex"), Buffer.from(actual, "hex"));
}
