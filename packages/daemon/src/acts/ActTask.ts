import {
  ActError,
  actsPlugin,
  type ActConclusion,
  type ActPeer,
  type ActsEffect,
  type ActsMessage,
  type ActTable,
  type DaemonIncarnation,
  type ForwardResult,
  type Instant,
  type Kernel,
} from "@pistachioway/kernel";
import { createHash } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import type { ResponseWriter } from "../callers/ResponseWriter.js";
import type { CallerRequest } from "../callers/CallerRequest.js";
import { Problem } from "../errors/index.js";
import type { AdmissionTask } from "../kernel/index.js";
import { getForwardedHeaders } from "../services/headers.js";
import type { ServiceCall } from "../services/ServiceCall.js";
import type { Recorder } from "../timeline/index.js";
import type { ActSender } from "./ActSender.js";
import { getConclusionProblem, getRejectionProblem } from "./problems.js";
import type { ActCall, ForwardedAct, ForwardedAnswer } from "./schema.js";

/** Carries acts and tables to other daemons. */
export interface ActTransport {
  /** Submits an act at another daemon; `lost` when no answer came. */
  readonly forward: (to: string, act: ForwardedAct) => Promise<ForwardResult>;
  /** Hands a table over; true only when the successor said that it adopted it. */
  readonly transfer: (successor: DaemonIncarnation, table: ActTable) => Promise<boolean>;
}

/** What the task works with. */
export interface ActDependencies {
  readonly kernel: Kernel;
  readonly getNow: () => Instant;
  readonly admission: AdmissionTask;
  readonly sender: ActSender;
  readonly transport: ActTransport;
  readonly recorder: Recorder;
  /** Gets the other daemons on the host list, with the tables that they announce. */
  readonly getPeers: () => readonly ActPeer[];
}

type SubmissionResult = Extract<
  ActsEffect,
  { kind: "answer" | "reject" | "moved" | "minted" | "adopted" }
>;

interface Submission {
  readonly call: ActCall | undefined;
  readonly settle: (end: SubmissionResult) => void;
}

const keyLifetimeMilliseconds = 900_000;
const retryAfterMilliseconds = 1_000;
const costOfAct = 1;
const pollIntervalMilliseconds = 20;

/** Owns the acts plug-in: runs calls that are not idempotent at most once. */
export class ActTask {
  private readonly submissions = new Map<string, Submission>();
  private forwardedCount = 0;

  private constructor(private readonly dependencies: ActDependencies) {}

  /**
   * Creates the task.
   * @param dependencies - What the task works with.
   */
  static create(dependencies: ActDependencies): ActTask {
    return new ActTask(dependencies);
  }

  /**
   * Mints a key and tells it to the caller.
   * @param request - Request of the caller.
   * @param writer - Where the answer goes.
   * @throws Problem when this daemon mints no keys.
   */
  async createKey(request: CallerRequest, writer: ResponseWriter): Promise<void> {
    const expiresAt = this.dependencies.getNow() + keyLifetimeMilliseconds;
    const end = await this.request(request.id, undefined, {
      kind: "mint",
      requestId: request.id,
      expiresAt,
    });
    if (end.kind !== "minted") {
      throw this.toProblem(end);
    }
    const body = Buffer.from(JSON.stringify({ key: end.key, expiresAt: end.expiresAt }));
    writer.sendResponse(201, { "content-type": "application/json" }, body, "complete");
  }

  /**
   * Runs an act and tells the caller how it ended.
   * @param call - Call of a service.
   * @param key - Key of the act; one is minted when it is absent.
   * @param writer - Where the answer goes.
   * @throws Problem when the act has no answer.
   */
  async submit(call: ServiceCall, key: string | undefined, writer: ResponseWriter): Promise<void> {
    const { request } = call;
    await this.dependencies.admission.admit(request, costOfAct);
    const withdraw = (): void => {
      this.withdraw(request.id);
    };
    request.signal.addEventListener("abort", withdraw);
    try {
      const end = await this.submitCall(request.id, toActCall(call), key, undefined);
      this.answer(end, writer);
    } finally {
      request.signal.removeEventListener("abort", withdraw);
      this.dependencies.admission.finish(request.id);
    }
  }

  /**
   * Runs an act that another daemon forwarded.
   * @param from - Daemon that forwarded it.
   * @param act - Forwarded act.
   */
  async submitForwarded(from: string, act: ForwardedAct): Promise<ForwardedAnswer> {
    this.forwardedCount += 1;
    const requestId = `${act.requestId}@${from}#${String(this.forwardedCount)}`;
    const end = await this.submitCall(requestId, act.call, act.key, from);
    switch (end.kind) {
      case "answer":
        return { kind: "answered", record: end.record };
      case "moved":
        return { kind: "moved", to: end.to };
      case "reject": {
        const { code, outcome, message } = end.error;
        return { kind: "rejected", code, outcome, message };
      }
      default:
        throw new TypeError(`act "${requestId}" ended with "${end.kind}"`);
    }
  }

  /**
   * Adopts the table of a daemon that stops.
   * @param requestId - Id of the call.
   * @param successor - Incarnation that the table is meant for.
   * @param table - Table to adopt.
   */
  async adopt(requestId: string, successor: DaemonIncarnation, table: ActTable): Promise<boolean> {
    const message = { kind: "adopt" as const, requestId, successor, table };
    const end = await this.request(requestId, undefined, message);
    return end.kind === "adopted";
  }

  /**
   * Hands every table to a successor and resolves when that is over, well or not.
   * @param successor - Incarnation that takes the tables.
   * @param deadline - When to stop waiting.
   */
  async handOver(successor: DaemonIncarnation, deadline: Instant): Promise<void> {
    this.send({ kind: "hand-over", successor });
    while (this.isHandingOver() && this.dependencies.getNow() < deadline) {
      await delay(pollIntervalMilliseconds);
    }
  }

  private isHandingOver(): boolean {
    const { holdings } = this.dependencies.kernel.getStateOrThrow(actsPlugin);
    return [...holdings.values()].some(
      ({ phase }) => phase === "closing" || phase === "handing-over",
    );
  }

  /**
   * Hands a message to the plug-in and carries out the effects.
   * @param message - Message to handle.
   */
  send(message: ActsMessage): void {
    const effects = this.dependencies.kernel.send(actsPlugin, message, this.dependencies.getNow());
    for (const effect of effects) {
      this.carryOut(effect);
    }
  }

  /** Stops waiting for an act whose caller went away; the act itself goes on. */
  private withdraw(requestId: string): void {
    this.send({ kind: "withdraw", requestId });
    const error = new ActError("act-running", "unknown", "the caller went away");
    this.settle({ kind: "reject", requestId, error });
  }

  private async submitCall(
    requestId: string,
    call: ActCall,
    key: string | undefined,
    forwardedBy: string | undefined,
  ): Promise<SubmissionResult> {
    return await this.request(requestId, call, {
      kind: "submit",
      requestId,
      key,
      expiresAt: this.dependencies.getNow() + keyLifetimeMilliseconds,
      fingerprint: getFingerprint(call),
      service: call.service,
      deadline: call.deadline,
      forwardedBy,
      peers: this.dependencies.getPeers(),
    });
  }

  private async request(
    requestId: string,
    call: ActCall | undefined,
    message: ActsMessage,
  ): Promise<SubmissionResult> {
    return await new Promise<SubmissionResult>((settle) => {
      this.submissions.set(requestId, { call, settle });
      this.send(message);
    });
  }

  private carryOut(effect: ActsEffect): void {
    switch (effect.kind) {
      case "send":
        void this.sendToService(effect);
        return;
      case "forward":
        void this.forward(effect);
        return;
      case "transfer":
        void this.transfer(effect.successor, effect.table);
        return;
      case "wait":
        return;
      default:
        this.settle(effect);
    }
  }

  private settle(end: SubmissionResult): void {
    const submission = this.submissions.get(end.requestId);
    this.submissions.delete(end.requestId);
    submission?.settle(end);
  }

  private async sendToService(effect: Extract<ActsEffect, { kind: "send" }>): Promise<void> {
    const { actId, attemptId, requestId, key } = effect;
    const call = this.submissions.get(requestId)?.call;
    if (call === undefined) {
      this.send({
        kind: "attempted",
        actId,
        attemptId,
        result: { kind: "never-sent" },
        hasOtherHost: false,
      });
      return;
    }
    this.dependencies.recorder.record("act.sending", {
      request: requestId,
      act: actId,
      attempt: attemptId,
    });
    const { result, hasOtherHost } = await this.dependencies.sender.send(call, actId, attemptId, key);
    this.dependencies.recorder.record("act.attempted", {
      request: requestId,
      act: actId,
      attempt: attemptId,
      result: result.kind,
    });
    this.send({ kind: "attempted", actId, attemptId, result, hasOtherHost });
  }

  private async forward(effect: Extract<ActsEffect, { kind: "forward" }>): Promise<void> {
    const { requestId, actId, key, to } = effect;
    const call = this.submissions.get(requestId)?.call;
    this.dependencies.recorder.record("act.forwarded", { request: requestId, act: actId, to });
    const result: ForwardResult =
      call === undefined
        ? { kind: "lost" }
        : await this.dependencies.transport.forward(to, { requestId, key, call });
    this.send({ kind: "forwarded", requestId, result, peers: this.dependencies.getPeers() });
  }

  private async transfer(successor: DaemonIncarnation, table: ActTable): Promise<void> {
    const { issuer, incarnation } = table;
    const accepted = await this.dependencies.transport.transfer(successor, table);
    const fields = { issuer, successor: successor.name, accepted, acts: table.acts.length };
    this.dependencies.recorder.record("act.table-handed-over", fields, "info");
    this.send({ kind: "transferred", issuer, incarnation, accepted });
  }

  private answer(end: SubmissionResult, writer: ResponseWriter): void {
    if (end.kind !== "answer" || end.record.state !== "done" || end.record.answer === undefined) {
      throw this.toProblem(end);
    }
    const { status, headers, body } = end.record.answer;
    const fields = Object.fromEntries(headers.map(({ name, value }) => [name, value]));
    writer.sendResponse(status, { ...fields, "x-act-id": end.actId }, Buffer.from(body), "complete");
  }

  private toProblem(end: SubmissionResult): Problem {
    const retryAt = this.dependencies.getNow() + retryAfterMilliseconds;
    switch (end.kind) {
      case "answer":
        return getConclusionProblem(end.actId, toConclusionWithoutAnswer(end.record), retryAt);
      case "reject":
        return getRejectionProblem(end.error, retryAt);
      default: {
        const detail = `the act ended with "${end.kind}"`;
        return getRejectionProblem(new ActError("act-issuer-lost", "unknown", detail), retryAt);
      }
    }
  }
}

/** An act whose answer was too large to keep has an outcome that cannot be told any more. */
function toConclusionWithoutAnswer(record: ActConclusion): ActConclusion {
  return record.state === "done" ? { state: "unknown" } : record;
}

function toActCall(call: ServiceCall): ActCall {
  const { request, service, path } = call;
  return {
    team: request.team.name,
    service: service.name,
    method: request.method,
    path,
    headers: getForwardedHeaders(request),
    body: request.body,
    deadline: request.deadline,
  };
}

/** Hashes what a key may be used for; another team or another request has another fingerprint. */
function getFingerprint(call: ActCall): string {
  const hash = createHash("sha256");
  hash.update(JSON.stringify([call.team, call.service, call.method, call.path]));
  return hash.update(call.body).digest("base64url");
}
