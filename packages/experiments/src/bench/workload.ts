import type { Deployment } from "./deployment.js";
import { Random } from "./Random.js";

/** What one chat asks for. */
export interface ChatKind {
  readonly name: "briefing" | "lookup" | "batch";
  readonly turns: number;
  readonly firstPromptTokens: number;
  readonly turnTokens: number;
  readonly answerTokens: number;
  readonly durationMilliseconds: number;
  readonly pauseMilliseconds: number;
}

/** One returning chat. */
export interface Chat {
  readonly id: number;
  readonly name: string;
  readonly team: number;
  readonly kind: ChatKind;
  readonly turns: number;
  /** Whether the caller carries the placement hint of the last answer. */
  readonly carriesHint: boolean;
  /** Own stream, so that every policy sees the same chat. */
  readonly random: Random;
  turn: number;
  /** Length of the history that the next request carries. */
  historyTokens: number;
  /** Tokens of the history that some engine has processed. */
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
 * @param id - Number of the chat; gives its stream of random numbers.
 * @param seed - Seed of the run.
 * @param deployment - Deployment whose mix of chats applies.
 * @param team - Team of the chat; drawn when not given.
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
  const draw = random.getUniform();
  if (draw < deployment.briefingShare) {
    return briefing;
  }
  return draw < deployment.briefingShare + deployment.lookupShare ? lookup : batch;
}

/** Draws a team; the first few are large. */
function pickTeam(random: Random, deployment: Deployment): number {
  return Math.floor(deployment.teamCount * random.getUniform() ** 3);
}
