import {
  getHash,
  mixHashes,
  NoticeQueue,
  ContentQuarantine,
  type FleetNotice,
  type Instant,
  type QuarantineChange,
  type RequestContent,
} from "@pistachioway/kernel";
import { Problem } from "../errors/index.js";
import type { FailedChatAttempt } from "./ChatAttempt.js";
import type { ChatRequest } from "./ChatRequest.js";

/** What the quarantine depends on. */
export interface ChatQuarantineDependencies {
  readonly getNow: () => Instant;
  /** Gets the milliseconds by which this daemon sends a chat again later than its quarantine ends. */
  readonly getReleaseDelay: () => number;
  /** Called when chats with a block are refused from now on, and when they no longer are. */
  readonly onChange: (change: QuarantineChange) => void;
  /** Called when there are notices to send at once. */
  readonly onNotice: () => void;
}

const maxNoticesPerMessage = 24;
/** Messages of a chat that are looked at, the first ones. */
const maxMessages = 32;

/**
 * Keeps chats that crash engines one after another from the other engines. The blocks of a chat are the chat
 * itself and its messages but the last, which other chats may share.
 */
export class ChatQuarantine {
  private readonly queue = NoticeQueue.create();
  private readonly quarantine: ContentQuarantine;

  private constructor(private readonly dependencies: ChatQuarantineDependencies) {
    this.quarantine = ContentQuarantine.create({
      addFleetNotice: (notice) => {
        if (this.queue.add(notice, dependencies.getNow())) {
          dependencies.onNotice();
        }
      },
      getReleaseDelay: dependencies.getReleaseDelay,
      onChange: dependencies.onChange,
    });
  }

  /**
   * Creates a quarantine without chats.
   * @param dependencies - What it depends on.
   */
  static create(dependencies: ChatQuarantineDependencies): ChatQuarantine {
    return new ChatQuarantine(dependencies);
  }

  /**
   * Checks whether a chat may be sent to an engine.
   * @param chat - Chat request.
   * @throws Problem when a block of the chat is quarantined.
   */
  checkOrThrow(chat: ChatRequest): void {
    const found = this.quarantine.findQuarantined(getContent(chat), this.dependencies.getNow());
    if (found === undefined) {
      return;
    }
    const detail = `engines of model "${chat.body.model}" crashed one after another on a part of the chat`;
    if (chat.attemptCount > 0) {
      throw Problem.create("upstream-failed", detail, "unknown", found.endsAt);
    }
    throw Problem.create("content-quarantined", detail, "not-run", found.endsAt);
  }

  /** Records that an engine answered a chat completely. */
  recordAnswer(chat: ChatRequest): void {
    this.quarantine.recordSuccess(getContent(chat), this.dependencies.getNow());
  }

  /** Records a failed attempt; it counts if the engine ended the connection before its answer. */
  recordFailure(chat: ChatRequest, { engine, failure }: FailedChatAttempt): void {
    if (failure.class === "lost" && failure.status === undefined) {
      const lost = { content: getContent(chat), upstream: getHash(engine) };
      const request = getHash(chat.request.id);
      this.quarantine.recordLoss({ ...lost, request }, this.dependencies.getNow());
    }
  }

  /** Takes the notices for the next message to the other daemons. */
  takeNotices(): readonly FleetNotice[] {
    const standing = this.quarantine.getStandingNotices(this.dependencies.getNow());
    return [...standing, ...this.queue.take(maxNoticesPerMessage - standing.length)];
  }

  /**
   * Applies notices of another daemon, and passes those on that were not known.
   * @param notices - The notices.
   */
  receive(notices: readonly FleetNotice[]): void {
    const now = this.dependencies.getNow();
    for (const notice of notices) {
      if (notice.kind === "quarantine" || this.queue.add(notice, now)) {
        this.quarantine.applyNotice(notice, now);
      }
    }
  }
}

/** Gets the content of a chat, by model: another model may bear what crashes this one. */
function getContent({ body, engineChatId }: ChatRequest): RequestContent {
  const model = getHash(body.model);
  const shared = body.messages.slice(0, -1).slice(0, maxMessages);
  const texts = shared.map(({ role, content }) => `${role} ${JSON.stringify(content)}`);
  const blocks = [`chat ${engineChatId}`, ...texts].map((text) => mixHashes(model, getHash(text)));
  return { whole: getHash(`${engineChatId} ${JSON.stringify(body)}`), blocks };
}
