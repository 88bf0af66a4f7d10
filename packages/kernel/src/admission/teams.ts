import type { Team } from "../configuration/index.js";
import type { Instant } from "../kernel/index.js";
import type { AdmissionEffect } from "./messages.js";
import type { AdmissionState, TeamAccount } from "./state.js";
import { UnknownTeamError } from "./UnknownTeamError.js";

const initialServiceMilliseconds = 1_000;

/**
 * Applies the teams of a configuration; waiting requests of removed teams are refused.
 * @param state - State to update.
 * @param teams - Teams of the configuration.
 * @param now - Time of the change.
 */
export function setTeams(
  state: AdmissionState,
  teams: readonly Team[],
  now: Instant,
): AdmissionEffect[] {
  const names = new Set(teams.map((team) => team.name));
  const dropped = [...state.teams.values()].filter((team) => !names.has(team.name));
  const effects = dropped.flatMap((team) => dropTeam(state, team, now));
  for (const team of teams) {
    setTeam(state, team);
  }
  return effects;
}

function dropTeam(state: AdmissionState, team: TeamAccount, now: Instant): AdmissionEffect[] {
  state.teams.delete(team.name);
  state.activeTeams.delete(team);
  return team.waiting.map((request) => {
    state.waiting.delete(request.requestId);
    const error = new UnknownTeamError(team.name);
    return { kind: "refuse", requestId: request.requestId, error, retryAt: now };
  });
}

function setTeam(state: AdmissionState, team: Team): void {
  const account = state.teams.get(team.name) ?? createAccount(team.name);
  account.share = team.share;
  account.maxConcurrent = team.maxConcurrent;
  account.priority = team.priority;
  state.teams.set(team.name, account);
}

function createAccount(name: string): TeamAccount {
  return {
    name,
    share: 1,
    maxConcurrent: 1,
    priority: 0,
    running: 0,
    runningCost: 0,
    waiting: [],
    waitingCost: 0,
    virtualTime: 0,
    serviceMilliseconds: initialServiceMilliseconds,
    lastRetryAt: 0,
    reportedRunning: 0,
    previouslyReportedRunning: 0,
  };
}
