import {
  ActError,
  actsPlugin,
  type ActPeer,
  type ActsEffect,
  type ActsMessage,
  type ActTable,
  type DaemonIncarnation,
  type ForwardResult,
  type Instant,
  type Kernel,
} from "@pistachioway/kernel";
import { setTimeout as delay } from "node:timers/promises";
import type { ResponseWriter } from "../callers/ResponseWriter.js";
import type { CallerRequest } from "../callers/CallerRequest.js";
import type { AdmissionTask } from "../kernel/index.js";
import type { ServiceCall } from "../services/ServiceCall.js";
import type { Recorder } from "../timeline/index.js";
import type { ActSender } from "./ActSender.js";
import { getFingerprint, toActCall } from "./actCalls.js";
import { getProvenResult, getProvenTable } from "./provenConclusions.js";
import { admitActOrThrow } from "./admitAct.js";
import { getResultProblem, writeResult, type SubmissionResult } from "./results.js";
import type { ActCall, ForwardedAct, ForwardedAnswer } from "./schema.js";

/** Sends acts and act tables to other daemons. */
export interface ActTransport {
  /** Submits an act to another daemon; the result is `lost` when no response arrives. */
  readonly forward: (to: string, act: ForwardedAct) => Promise<ForwardResult>;
  /** Hands over a table. Resolves to true only when the successor confirmed its adoption. */
  readonly transfer: (successor: DaemonIncarnation, table: ActTable) => Promise<boolean>;
}

/** The dependencies of the task. */
export interface ActDependencies {
  readonly kernel: Kernel;
  readonly getNow: () => Instant;
  readonly admission: AdmissionTask;
  readonly sender: ActSender;
  readonly transport: ActTransport;
  readonly recorder: Recorder;
  /** Gets the other daemons on the host list and the tables that they announce. */
  readonly getPeers: () => readonly ActPeer[];
}

/** A request to the plug-in that waits for its result. */
interface Submission {
  readonly call: ActCall | undefined;
  readonly settle: (result: SubmissionResult) => void;
}

/** How an attempt of an act ended. */
type AttemptReport = Omit<Extract<ActsMessage, { kind: "attempted" }>, "kind">;

const keyLifetimeMilliseconds = 900_000;
const pollIntervalMilliseconds = 20;

/** Owns the acts plug-in: runs calls that are not idempotent at most once. */
export class ActTask {
  private readonly submissions = new Map<string, Submission>();
  private forwardedCount = 0;

  private constructor(private readonly dependencies: ActDependencies) {}

  /**
   * Creates the task.
   * @param dependencies - The dependencies of the task.
   */
  static create(dependencies: ActDependencies): ActTask {
    return new ActTask(dependencies);
  }

  /**
   * Issues an act key and sends it to the caller.
   * @param request - Request of the caller.
   * @param writer - Writes the response.
   * @throws Problem when this daemon issues no keys.
   */
  async issueKey(request: CallerRequest, writer: ResponseWriter): Promise<void> {
    const expiresAt = this.dependencies.getNow() + keyLifetimeMilliseconds;
    const result = await this.request(request.id, undefined, {
      kind: "mint",
      requestId: request.id,
      expiresAt,
    });
    if (result.kind !== "minted") {
      throw getResultProblem(result, this.dependencies.getNow());
    }
    const body = Buffer.from(JSON.stringify({ key: result.key, expiresAt: result.expiresAt }));
    writer.sendResponse(201, { "content-type": "application/json" }, body, "complete");
  }

  /**
   * Runs an act and sends its answer to the caller.
   * @param call - Call of a service.
   * @param key - Key of the act; a new key is issued when it is absent.
   * @param writer - Writes the response.
   * @throws Problem when the act has no answer.
   */
  async submit(call: ServiceCall, key: string | undefined, writer: ResponseWriter): Promise<void> {
    const { request } = call;
    await admitActOrThrow(this.dependencies.admission, request, key);
    const withdraw = (): void => {
      this.withdraw(request.id);
    };
    request.signal.addEventListener("abort", withdraw);
    try {
      const result = await this.submitCall(request.id, toActCall(call), key, undefined);
      writeResult(result, writer, this.dependencies.getNow());
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
    const result = await this.submitCall(requestId, act.call, act.key, from);
    switch (result.kind) {
      case "answer":
        return { kind: "answered", record: result.record };
      case "moved":
        return { kind: "moved", to: result.to };
      case "reject": {
        const { code, outcome, message } = result.error;
        return { kind: "rejected", code, outcome, message };
      }
      default:
        throw new TypeError(`act "${requestId}" ended with "${result.kind}"`);
    }
  }

  /**
   * Adopts the act table of a daemon that is stopping.
   * @param requestId - Id of the call.
   * @param successor - Incarnation that the table is handed to.
   * @param table - Table to adopt.
   */
  async adopt(requestId: string, successor: DaemonIncarnation, table: ActTable): Promise<boolean> {
    const result = await this.request(requestId, undefined, {
      kind: "adopt",
      requestId,
      successor,
      table: getProvenTable(table),
    });
    return result.kind === "adopted";
  }

  /**
   * Hands over every table to a successor. Resolves when all hand-overs have succeeded or failed, or
   * at the deadline.
   * @param successor - Incarnation that receives the tables.
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
   * @returns The effects.
   */
  send(message: ActsMessage): readonly ActsEffect[] {
    const effects = this.dependencies.kernel.send(actsPlugin, message, this.dependencies.getNow());
    for (const effect of effects) {
      this.carryOut(effect);
    }
    return effects;
  }

  /** Stops waiting for an act whose caller has disconnected; the act itself continues. */
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

  private settle(result: SubmissionResult): void {
    const submission = this.submissions.get(result.requestId);
    this.submissions.delete(result.requestId);
    submission?.settle(result);
  }

  private async sendToService(effect: Extract<ActsEffect, { kind: "send" }>): Promise<void> {
    const { actId, attemptId, requestId, key } = effect;
    const call = this.submissions.get(requestId)?.call;
    if (call === undefined) {
      const result = { kind: "never-sent" } as const;
      this.reportAttempt({ actId, attemptId, result, hasOtherHost: false });
      return;
    }
    this.dependencies.recorder.record("act.sending", {
      request: requestId,
      act: actId,
      attempt: attemptId,
    });
    const { result, hasOtherHost } = await this.dependencies.sender.send(
      call,
      actId,
      attemptId,
      key,
    );
    this.dependencies.recorder.record("act.attempted", {
      request: requestId,
      act: actId,
      attempt: attemptId,
      result: result.kind,
    });
    this.reportAttempt({ actId, attemptId, result, hasOtherHost });
  }

  /** Reports how an attempt ended; unless the act is sent again, its attempts are forgotten. */
  private reportAttempt(attempt: AttemptReport): void {
    const effects = this.send({ kind: "attempted", ...attempt });
    if (!effects.some((effect) => effect.kind === "send" && effect.actId === attempt.actId)) {
      this.dependencies.sender.finish(attempt.actId);
    }
  }

  private async forward(effect: Extract<ActsEffect, { kind: "forward" }>): Promise<void> {
    const { requestId, actId, key, to } = effect;
    const call = this.submissions.get(requestId)?.call;
    this.dependencies.recorder.record("act.forwarded", { request: requestId, act: actId, to });
    const result: ForwardResult =
      call === undefined
        ? { kind: "lost" }
        : await this.dependencies.transport.forward(to, { requestId, key, call });
    this.send({
      kind: "forwarded",
      requestId,
      result: getProvenResult(result),
      peers: this.dependencies.getPeers(),
    });
  }

  private async transfer(successor: DaemonIncarnation, table: ActTable): Promise<void> {
    const { issuer, incarnation } = table;
    const accepted = await this.dependencies.transport.transfer(successor, table);
    const fields = { issuer, successor: successor.name, accepted, acts: table.acts.length };
    this.dependencies.recorder.record("act.table-handed-over", fields, "info");
    this.send({ kind: "transferred", issuer, incarnation, accepted });
  }
}
