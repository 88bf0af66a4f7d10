import {
  chooseUpstream,
  decideRetry,
  type ResponseHead,
  type AttemptEnd,
  type RequestProgress,
  type UpstreamChoice,
  type UpstreamEntry,
} from "@pistachioway/kernel";
import type { ExchangeListener } from "../exchange/index.js";
import { Attempt } from "./Attempt.js";
import type { CallerAnswer } from "./CallerAnswer.js";
import { EventGate } from "./EventGate.js";
import { getMaxRunning, type FlowParts } from "./FlowParts.js";
import { FlowReport, type FlowOutcome } from "./FlowReport.js";
import { getStickyKey, type FlowRequest } from "./FlowRequest.js";
import { LateWatch } from "./LateWatch.js";
import type { RefusalName } from "./refusals.js";

const firstErrorStatus = 300;
const serverErrorStatus = 500;
const maxWholeBytes = 8_388_608;
/** Serves one request: places it, sends it, relays its answer, and sends it again where it may. */
export class Flow {
  private attempt: Attempt | undefined;
  private choice: UpstreamChoice | undefined;
  runs = 0;
  refusals = 0;
  lastFailure = "";
  private firstByteAt: number | undefined;
  private isOver = false;
  private deadlineTimer: NodeJS.Timeout | undefined;
  private readonly tried = new Set<string>();
  private readonly gate: EventGate | undefined;
  private readonly report: FlowReport;
  private readonly lateWatch: LateWatch;
  private readonly listener: ExchangeListener = {
    onHead: (head) => {
      this.takeHead(head);
    },
    onData: (chunk) => {
      this.takeData(chunk);
    },
    onEnd: () => {
      this.takeEnd();
    },
    onFailure: (end, detail) => {
      this.takeFailure(end, detail);
    },
  };

  private constructor(
    private readonly parts: FlowParts,
    private readonly request: FlowRequest,
    private readonly answer: CallerAnswer,
  ) {
    const { kind, isResumable } = request.pass.route;
    this.gate = kind === "stream" && isResumable ? EventGate.create() : undefined;
    this.report = FlowReport.create(parts, request);
    this.lateWatch = LateWatch.create(request.pass.route, parts.getNow);
  }

  /**
   * Starts to serve a request.
   * @param parts - What the flow works with.
   * @param request - Request to serve.
   * @param answer - Where its answer goes.
   */
  static start(parts: FlowParts, request: FlowRequest, answer: CallerAnswer): Flow {
    const flow = new Flow(parts, request, answer);
    const now = parts.getNow();
    parts.budgets.get(request.service).addRequest(now);
    flow.deadlineTimer = setTimeout(
      () => {
        flow.expire();
      },
      Math.max(0, request.deadline - now),
    );
    flow.send();
    return flow;
  }

  /** Gets the status of the answer; 0 when there is none yet. */
  get status(): number {
    return this.answer.getStatus();
  }

  /** The caller has gone: nobody waits for the answer. */
  abandon(): void {
    if (!this.isOver) {
      this.noteUnheard();
      this.stopAttempt();
      this.finish("abandoned");
    }
  }

  private send(): void {
    const { pass, head, service } = this.request;
    this.choice = chooseUpstream(this.parts.upstreams.getEntries(), {
      service,
      zone: this.parts.zone,
      stickyKey: pass.route.isSticky ? getStickyKey(head) : undefined,
      excluded: this.tried,
      maxRunning: getMaxRunning(this.parts, service),
      now: this.parts.getNow(),
    });
    if (this.choice === undefined) {
      this.giveUp("no-upstream", `no upstream of service "${service}" can be used`);
      return;
    }
    const { entry, preferred } = this.choice;
    this.tried.add(entry.record.id);
    this.runs += 1;
    const attempt = Attempt.create(entry);
    this.attempt = attempt;
    this.lateWatch.start(attempt, this.runs, (late) => {
      this.takeLate(late);
    });
    attempt.send(this.parts, this.request, preferred, this.getLastEventId(), this.listener);
  }

  private getLastEventId(): string | undefined {
    const relayed = this.answer.isStarted() ? this.gate?.getLastId() : undefined;
    // The event in which the stream broke comes again, whole.
    this.gate?.takeRest();
    return relayed ?? this.request.head.lastEventId;
  }

  private takeLate(attempt: Attempt): void {
    const detail = `upstream "${attempt.entry.record.id}" did not answer in time`;
    if (this.mayRetry("late", detail)) {
      this.noteFailure(attempt.entry);
      this.stopAttempt();
      this.send();
    }
  }

  private takeHead(head: ResponseHead): void {
    const attempt = this.attempt;
    if (attempt === undefined) {
      return;
    }
    const now = this.parts.getNow();
    attempt.head = head;
    attempt.hear(now);
    if (head.load !== undefined) {
      attempt.entry.recordReportedLoad(head.load.running + head.load.waiting, now);
    }
    if (head.isRefusal) {
      this.noteNotRun();
    } else if (this.isStream(head)) {
      attempt.beginStream();
      this.startStream(head, now);
    }
  }

  private startStream(head: ResponseHead, now: number): void {
    if (!this.answer.isStarted()) {
      this.firstByteAt = now;
      this.answer.startStream(head);
    }
  }

  private takeData(chunk: Buffer): void {
    const attempt = this.attempt;
    if (attempt?.head === undefined) {
      return;
    }
    attempt.hear(this.parts.getNow());
    if (this.isStream(attempt.head)) {
      this.relay(attempt, this.gate?.pass(chunk) ?? chunk);
    } else if (attempt.keep(chunk) > maxWholeBytes) {
      attempt.cancel();
      this.takeFailure("lost", `answer is larger than ${String(maxWholeBytes)} bytes`);
    }
  }

  private relay(attempt: Attempt, bytes: Buffer): void {
    if (bytes.length > 0 && !this.answer.write(bytes)) {
      attempt.pause();
      this.answer.onceDrained(() => {
        attempt.resume();
      });
    }
  }

  private takeEnd(): void {
    const attempt = this.attempt;
    if (attempt?.head === undefined) {
      return;
    }
    const { head, entry } = attempt;
    this.endAttempt();
    if (head.isRefusal) {
      this.fail("refused", `upstream "${entry.record.id}" refused with ${String(head.status)}`);
    } else if (head.status >= serverErrorStatus) {
      this.takeError(attempt, head);
    } else if (this.answer.isStarted() && !this.isStream(head)) {
      // A stream that went on elsewhere got an answer that is no stream.
      this.fail("failed", `upstream "${entry.record.id}" answered ${String(head.status)}`);
    } else {
      entry.recordSuccess();
      this.complete(attempt, head);
    }
  }

  private complete(attempt: Attempt, head: ResponseHead): void {
    if (this.isStream(head)) {
      this.relay(attempt, this.gate?.takeRest() ?? Buffer.alloc(0));
      this.answer.endStream();
    } else {
      this.answer.sendWhole(head, attempt.getBody(), this.request.method === "HEAD");
    }
    this.finish("answered");
  }

  /** The upstream says that it failed: another one may do better, else its word is passed on. */
  private takeError(attempt: Attempt, head: ResponseHead): void {
    this.noteFailure(attempt.entry);
    const detail = `upstream "${attempt.entry.record.id}" answered ${String(head.status)}`;
    if (this.mayRetry("failed", detail)) {
      this.send();
    } else if (this.answer.isStarted()) {
      this.breakOff("broken");
    } else {
      this.complete(attempt, head);
    }
  }

  private takeFailure(end: "notSent" | "lost", detail: string): void {
    const attempt = this.attempt;
    if (this.isOver || attempt === undefined) {
      return;
    }
    const isRefused = attempt.head?.isRefusal === true;
    if (end === "notSent") {
      this.noteNotRun();
      attempt.entry.markUnreachable(this.parts.getNow());
    } else if (!isRefused) {
      this.noteFailure(attempt.entry);
    }
    this.endAttempt();
    this.fail(isRefused ? "refused" : end, `upstream "${attempt.entry.record.id}": ${detail}`);
  }

  private fail(end: AttemptEnd, detail: string): void {
    if (this.mayRetry(end, detail)) {
      this.send();
    } else {
      this.giveUp(end === "refused" ? "upstream-refused" : "no-upstream", detail);
    }
  }

  private mayRetry(end: AttemptEnd, detail: string): boolean {
    this.lastFailure = detail;
    const { route } = this.request.pass;
    const verdict = decideRetry(route, end, this.getProgress(), () => this.spendRepeat());
    if (verdict === "retry") {
      this.report.retry(end, this);
    }
    return verdict === "retry";
  }

  /** Gives the request up: its answer says truly whether it may have run. */
  private giveUp(notRunName: RefusalName, detail: string): void {
    if (this.answer.isStarted()) {
      this.breakOff("broken");
      return;
    }
    const name = this.runs > 0 ? "upstream-failed" : notRunName;
    this.answer.refuse(name, this.lastFailure === "" ? detail : this.lastFailure);
    this.finish(name);
  }

  private expire(): void {
    if (this.isOver) {
      return;
    }
    const { attempt } = this;
    const mayHaveRun = this.runs > 1 || (attempt?.mayHaveRun() ?? this.runs > 0);
    this.noteUnheard();
    this.stopAttempt();
    if (this.answer.isStarted()) {
      this.breakOff("cut-at-deadline");
      return;
    }
    const name = mayHaveRun ? "deadline-exceeded" : "not-run-in-time";
    this.answer.refuse(name, "the time for the request is over");
    this.finish(name);
  }

  private breakOff(outcome: FlowOutcome): void {
    this.answer.breakOff();
    this.finish(outcome);
  }

  private getProgress(): RequestProgress {
    return {
      runs: this.runs,
      refusals: this.refusals,
      remainingMilliseconds: this.request.deadline - this.parts.getNow(),
    };
  }

  private isStream(head: ResponseHead): boolean {
    return this.request.pass.route.kind === "stream" && head.status < firstErrorStatus;
  }

  private spendRepeat(): boolean {
    const { budgets, getNow, getDaemonCount } = this.parts;
    return budgets.get(this.request.service).spendRetry(getNow(), getDaemonCount());
  }

  private noteNotRun(): void {
    this.runs -= 1;
    this.refusals += 1;
  }

  private noteFailure(entry: UpstreamEntry): void {
    entry.recordFailure(this.parts.getNow(), this.parts.upstreams.getMedianFailureRate(entry));
  }

  /** An upstream that has said nothing for as long as a caller waits has failed. */
  private noteUnheard(): void {
    const { attempt } = this;
    if (attempt !== undefined && this.lateWatch.isUnheard(attempt)) {
      this.noteFailure(attempt.entry);
    }
  }

  private endAttempt(): void {
    this.lateWatch.stop();
    this.attempt?.finish();
    this.attempt = undefined;
  }

  private stopAttempt(): void {
    this.attempt?.cancel();
    this.endAttempt();
  }

  private finish(outcome: FlowOutcome): void {
    this.isOver = true;
    clearTimeout(this.deadlineTimer);
    this.report.finish(outcome, this, this.choice, this.firstByteAt);
  }
}
