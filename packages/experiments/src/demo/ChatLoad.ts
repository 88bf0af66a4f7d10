import { setTimeout as delay } from "node:timers/promises";
import { Random } from "../bench/Random.js";
import { getExpectedChatAnswer } from "../fleet/index.js";
import type { CallerSession } from "./CallerSession.js";
import type { ChatMessage, ChatTurn } from "./CallerClient.js";
import type { CallerRecords } from "./CallerRecords.js";

/** The team and the model of a group of chats. */
export interface ChatKind {
  readonly team: string;
  readonly model: string;
}

const firstMessageWords = { min: 120, spread: 200 };
const nextMessageWords = { min: 8, spread: 16 };
const answerTokens = { min: 16, spread: 16 };
const pauseMilliseconds = { min: 100, spread: 400 };
/** Period over which the starts of the first chats are spread. */
const rampMilliseconds = 2_000;
const retryDelayMilliseconds = 100;
const maxAttempts = 10;
const maxTurns = 12;
const streamedRatio = 0.7;

/** Runs chats of several turns until it is stopped. */
export class ChatLoad {
  private isStopped = false;
  private readonly loops: Promise<void>[] = [];

  private constructor(
    private readonly session: CallerSession,
    private readonly callerRecords: CallerRecords,
  ) {}

  /**
   * Creates a load that has not been started.
   * @param session - Session that sends the turns.
   * @param callerRecords - Records in which the answers are counted.
   */
  static create(session: CallerSession, callerRecords: CallerRecords): ChatLoad {
    return new ChatLoad(session, callerRecords);
  }

  /**
   * Starts chats that send several turns with pauses between them.
   * @param kind - Team and model of the chats.
   * @param count - Number of concurrent chats.
   * @param seed - Random seed of the pauses and message lengths.
   */
  start(kind: ChatKind, count: number, seed: number): void {
    for (let index = 0; index < count; index++) {
      this.loops.push(
        this.runChats(kind, Random.create(seed, index), `${kind.team}-${String(index)}`),
      );
    }
  }

  /** Resolves when every chat has finished its current turn. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.loops);
  }

  private async runChats(kind: ChatKind, random: Random, name: string): Promise<void> {
    await delay(random.getIndex(rampMilliseconds));
    for (let number = 0; !this.isStopped; number++) {
      await this.runChat(kind, random, `${name}-${String(number)}`);
    }
  }

  private async runChat(kind: ChatKind, random: Random, chat: string): Promise<void> {
    let history: readonly ChatMessage[] = [];
    for (let turns = 0; turns < maxTurns && !this.isStopped; turns++) {
      await delay(getRandomAmount(random, pauseMilliseconds));
      const turn = createTurn(kind, random, chat, history);
      const content = await this.sendUntilAnswered(turn);
      if (content === undefined) {
        this.callerRecords.chats.unanswered += 1;
        return;
      }
      this.countTurn(turn, content);
      const { message } = turn;
      history = [...history, { role: "user", content: message }, { role: "assistant", content }];
    }
  }

  /** Sends a turn until its answer is complete; retries failures and broken connections. */
  private async sendUntilAnswered(turn: ChatTurn): Promise<string | undefined> {
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const answer = await this.session.send((client, address) => client.sendTurn(address, turn));
      if (answer.kind === "whole") {
        return answer.content;
      }
      await delay(retryDelayMilliseconds * (attempt + 1));
    }
    return undefined;
  }

  private countTurn(turn: ChatTurn, content: string): void {
    const { chats } = this.callerRecords;
    const isExpected = content === getExpectedChatAnswer(turn.team, turn);
    chats.whole += isExpected ? 1 : 0;
    chats.wrong += isExpected ? 0 : 1;
    chats.returned += turn.history.length > 0 ? 1 : 0;
    const repeated = turn.history.reduce((sum, message) => sum + countWords(message.content), 0);
    chats.repeatedTokens += repeated;
    chats.promptTokens += repeated + countWords(turn.message);
  }
}

function createTurn(
  kind: ChatKind,
  random: Random,
  chat: string,
  history: readonly ChatMessage[],
): ChatTurn {
  const length = getRandomAmount(
    random,
    history.length === 0 ? firstMessageWords : nextMessageWords,
  );
  const words = Array.from({ length }, () => `w${String(random.getIndex(100_000))}`);
  return {
    ...kind,
    chat,
    history,
    message: words.join(" "),
    tokens: getRandomAmount(random, answerTokens),
    isStream: random.getUniform() < streamedRatio,
  };
}

function getRandomAmount(
  random: Random,
  range: { readonly min: number; readonly spread: number },
): number {
  return range.min + random.getIndex(range.spread);
}

function countWords(text: string): number {
  return text.split(" ").length;
}
