import type { Deployment } from "./deployment.js";
import { Random } from "./Random.js";

/** Lengths, durations and pauses of the chats of one kind. */
export interface ChatKind {
  readonly name: "briefing" | "lookup" | "batch";
  readonly turns: number;
  readonly firstPromptTokens: number;
  readonly turnTokens: number;
  readonly answerTokens: number;
  readonly durationMilliseconds: number;
  readonly pauseMilliseconds: number;
}

/** A chat of several turns. */
export interface Chat {
  readonly id: number;
  readonly name: string;
  readonly team: number;
  readonly kind: ChatKind;
  readonly turns: number;
  /** Whether the caller sends back the placement hint of the last answer. */
  readonly carriesHint: boolean;
  /** Generator of this chat alone, so that the chat is the same for every policy. */
  readonly random: Random;
  turn: number;
  /** Length of the history that the next request contains, in tokens. */
  historyTokens: number;
  /** Length of the part of the history that some engine has processed, in tokens. */
  processedTokens: number;
  hintedEngine: string | undefined;
}

const briefing: ChatKind = {
  name: "briefing",
  turns: 8,
  firstPromptTokens: 2500,
  turnTokens: 200,
  answerTokens: 250,
  durationMilliseconds: 9000,
  pauseMilliseconds: 15_000,
};

const lookup: ChatKind = {
  name: "lookup",
  turns: 2.5,
  firstPromptTokens: 150,
  turnTokens: 40,
  answerTokens: 60,
  durationMilliseconds: 3000,
  pauseMilliseconds: 8000,
};

const batch: ChatKind = {
  name: "batch",
  turns: 3,
  firstPromptTokens: 1500,
  turnTokens: 300,
  answerTokens: 500,
  durationMilliseconds: 20_000,
  pauseMilliseconds: 4000,
};

const hintShare = 0.5;

/** Tokens that all chats of a team share at the start of their prompts. */
export const teamPrefixTokens = 100;

/**
 * Creates a chat.
 * @param id - Number of the chat; selects its stream of random numbers.
 * @param seed - Seed of the run.
 * @param deployment - Deployment that sets the shares of the kinds of chats.
 * @param team - Team of the chat; picked at random if omitted.
 */
export function createChat(id: number, seed: number, deployment: Deployment, team?: number): Chat {
  const random = Random.create(seed, id + 1000);
  const kind = pickKind(random, deployment);
  return {
    id,
    name: `chat-${String(seed)}-${String(id)}`,
    team: team ?? pickTeam(random, deployment),
    kind,
    turns: 1 + Math.floor(random.getExponential(kind.turns - 0.5)),
    carriesHint: random.getUniform() < hintShare,
    random,
    turn: 0,
    historyTokens: 0,
    processedTokens: 0,
    hintedEngine: undefined,
  };
}

function pickKind(random: Random, deployment: Deployment): ChatKind {
  const value = random.getUniform();
  if (value < deployment.briefingShare) {
    return briefing;
  }
  return value < deployment.briefingShare + deployment.lookupShare ? lookup : batch;
}

/** Picks a team at random; the first few teams get most of the chats. */
function pickTeam(random: Random, deployment: Deployment): number {
  return Math.floor(deployment.teamCount * random.getUniform() ** 3);
}
