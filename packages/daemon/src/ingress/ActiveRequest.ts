import type { AttemptEnd, ResponseHead } from "@pistachioway/kernel";
import { describeAnswer, type ExchangeFailure, type ExchangeListener } from "../exchange/index.js";
import { Attempt } from "./Attempt.js";
import { describeFault, type AnswerFault } from "./AnswerBody.js";
import type { RequestResponse } from "./RequestResponse.js";
import type { ActiveRequestDependencies } from "./ActiveRequestDependencies.js";
import { ActiveRequestReport, type ActiveRequestOutcome } from "./ActiveRequestReport.js";
import { getReceivedEventId, type AcceptedRequest } from "./AcceptedRequest.js";
import { createLoss, findEndFailure } from "./findEndFailure.js";
import { decideRequestRetry } from "./decideRequestRetry.js";
import { mayHaveRun } from "./mayHaveRun.js";
import { DeadlineTimer } from "./DeadlineTimer.js";
import { ReceivedAnswer } from "./ReceivedAnswer.js";
import { RequestAdmission } from "./RequestAdmission.js";
import { RequestEvidence } from "./RequestEvidence.js";
import { SlowAttemptMonitor } from "./SlowAttemptMonitor.js";
import { StreamOrigin } from "./StreamOrigin.js";
import type { Refusal } from "./refusals.js";
import type { AttemptTarget } from "./AttemptTarget.js";
import { TargetChooser } from "./TargetChooser.js";
import { requestDeadline, type TimeLimit } from "./TimeLimit.js";

const serverErrorStatus = 500;

/** A request in flight: chooses an upstream, sends the request, relays the response, and retries. */
export class ActiveRequest {
  private attempt: Attempt | undefined;
  /** Target of the last attempt; undefined when the last choice found none. */
  private target: AttemptTarget | undefined;
  /** Attempts that may have run. */
  runs = 0;
  /** Attempts that have certainly not run. */
  refusals = 0;
  lastFailure = "";
  private firstByteAt: number | undefined;
  private isFinished = false;
  private deadlineTimer: DeadlineTimer | undefined;
  private readonly targets: TargetChooser;
  private readonly answer: ReceivedAnswer;
  private readonly report: ActiveRequestReport;
  private readonly slowAttemptMonitor: SlowAttemptMonitor;
  private readonly evidence: RequestEvidence;
  private readonly origin: StreamOrigin;
  private readonly admission: RequestAdmission;
  private readonly listener: ExchangeListener = {
    onHead: (head) => {
      this.handleHead(head);
    },
    onData: (chunk) => {
      this.handleData(chunk);
    },
    onEnd: () => {
      this.handleEnd();
    },
    onFailure: (failure) => {
      this.handleFailure(failure);
    },
  };

  private constructor(
    private readonly dependencies: ActiveRequestDependencies,
    private readonly request: AcceptedRequest,
    private readonly response: RequestResponse,
  ) {
    this.answer = ReceivedAnswer.create({
      route: request.approval.route,
      response,
      memory: dependencies.memory,
      onEvicted: () => {
        this.handleFault("memory");
      },
    });
    this.report = ActiveRequestReport.create(dependencies, request);
    this.evidence = RequestEvidence.create(dependencies.quarantine, request);
    this.origin = StreamOrigin.create(dependencies, request);
    this.admission = RequestAdmission.create(dependencies, request);
    this.targets = TargetChooser.create(dependencies, request);
    this.slowAttemptMonitor = SlowAttemptMonitor.create(
      request.approval.route,
      dependencies.getNow,
      dependencies.ticks,
    );
  }

  /**
   * Starts to serve a request.
   * @param dependencies - Dependencies of the request's processing.
   * @param request - Request to serve.
   * @param response - Response to the caller.
   */
  static start(
    dependencies: ActiveRequestDependencies,
    request: AcceptedRequest,
    response: RequestResponse,
  ): ActiveRequest {
    const activeRequest = new ActiveRequest(dependencies, request, response);
    const now = dependencies.getNow();
    activeRequest.deadlineTimer = DeadlineTimer.start(request.deadline, now, () => {
      activeRequest.handleTimeLimit(requestDeadline);
    });
    activeRequest.admission.wait(activeRequest.origin, (refusal) => {
      activeRequest.send(refusal);
    });
    return activeRequest;
  }

  /** Gets the time for which the request waited for its first attempt. */
  get waitedMilliseconds(): number {
    return this.admission.getWaitedMilliseconds();
  }

  /** Gets the status of the response; 0 before its head is written. */
  get status(): number {
    return this.response.getStatus();
  }

  /** Cancels the request, because the caller has closed its connection. */
  handleCallerClosed(): void {
    if (!this.isFinished) {
      this.slowAttemptMonitor.recordFailureIfUnresponsive(this.attempt);
      this.cancelAttempt();
      this.finish("abandoned");
    }
  }

  /**
   * Sends the request for the first time or once more.
   * @param unsent - Why it cannot be sent; undefined when it can.
   */
  private send(unsent?: Refusal): void {
    const now = this.dependencies.getNow();
    const refusal = unsent ?? this.evidence.createRefusal(now);
    if (refusal !== undefined) {
      this.fail(refusal);
      return;
    }
    const choice = this.targets.choose(this.origin.getVersion(), this.target);
    if (choice.kind === "refusal") {
      this.target = undefined;
      this.fail(choice.refusal);
      return;
    }
    this.sendTo(choice.target, now);
  }

  private sendTo(target: AttemptTarget, now: number): void {
    this.target = target;
    this.runs += 1;
    if (target.upstream !== undefined) {
      this.origin.recordSend(target.upstream);
    }
    const attempt = Attempt.create(target, this.request.method === "HEAD");
    this.attempt = attempt;
    this.answer.clear();
    this.admission.recordSend(now);
    this.slowAttemptMonitor.start(attempt, this.runs, (slowAttempt) => {
      this.handleSlowAttempt(slowAttempt);
    });
    const receivedEventId = getReceivedEventId(this.request);
    attempt.send(now, this.answer.stream.prepareContinuation(receivedEventId), this.listener);
  }

  private handleSlowAttempt(attempt: Attempt): void {
    const detail = `${attempt.target.description} did not answer in time`;
    if (this.mayRetry("late", detail)) {
      this.slowAttemptMonitor.recordFailureIfSilent(attempt);
      this.cancelAttempt();
      this.send();
    }
  }

  private handleHead(head: ResponseHead): void {
    const attempt = this.attempt;
    if (attempt === undefined) {
      return;
    }
    const now = this.dependencies.getNow();
    attempt.recordHead(head, now);
    this.admission.recordHead(head);
    this.targets.addTriedUpstream(attempt.target.getReport(now).upstream);
    if (head.meaning === "refusal") {
      this.runs -= 1;
      this.refusals += 1;
    } else if (this.answer.stream.isPart(head)) {
      attempt.startStream();
      this.origin.recordStart(attempt.target.getSoftwareVersion());
      if (this.answer.stream.start(attempt, head, now)) {
        this.firstByteAt = now;
      }
    }
  }

  private handleData(chunk: Buffer): void {
    const attempt = this.attempt;
    if (attempt?.head === undefined) {
      return;
    }
    attempt.recordBody(chunk, this.dependencies.getNow());
    const fault = this.answer.push(attempt, attempt.head, chunk);
    if (fault !== undefined) {
      this.handleFault(fault);
    }
  }

  /** Fails an attempt whose answer must not be taken. */
  private handleFault(fault: AnswerFault): void {
    const { attempt } = this;
    if (attempt === undefined) {
      return;
    }
    attempt.cancel();
    this.report.recordFault(attempt, fault);
    if (attempt.head?.meaning === "refusal") {
      this.recordFailure(attempt.target);
    }
    this.handleFailure(createLoss(describeFault(fault), false));
  }

  private handleEnd(): void {
    const attempt = this.attempt;
    if (attempt?.head === undefined) {
      return;
    }
    const isDoubtful = attempt.endsWithConnection() || attempt.endsInsideEvent();
    if (attempt.head.meaning === "final" && isDoubtful) {
      void this.checkEnd(attempt, attempt.head);
    } else {
      this.handleAnswer(attempt, attempt.head);
    }
  }

  /** Handles an answer whose end may not be its own: as complete only if nothing shows that a part is missing. */
  private async checkEnd(attempt: Attempt, head: ResponseHead): Promise<void> {
    const earliestArrival = this.dependencies.getEarliestArrival();
    const failure = await findEndFailure(attempt, earliestArrival, this.report);
    if (this.attempt !== attempt) {
      return;
    }
    if (failure === undefined) {
      this.handleAnswer(attempt, head);
    } else {
      this.handleFailure(failure);
    }
  }

  /** Handles the complete answer of an attempt. */
  private handleAnswer(attempt: Attempt, head: ResponseHead): void {
    const { target } = attempt;
    this.endAttempt(head.meaning === "final");
    if (target.upstream !== undefined) {
      this.evidence.recordAnswer(head, this.dependencies.getNow());
    }
    if (head.meaning === "refusal") {
      this.retryOrFail("refused", `${target.description} refused with ${describeAnswer(head)}`);
    } else if (head.meaning === "unproven") {
      // Its status says what its upstream has not stated, so that it must not be passed on.
      this.recordFailure(target);
      const answer = describeAnswer(head);
      this.retryOrFail("failed", `${target.description} gave no proof with ${answer}`);
    } else if (head.status >= serverErrorStatus) {
      this.handleServerError(attempt, head);
    } else if (this.response.isStarted() && !this.answer.stream.isPart(head)) {
      // The stream was resumed at another upstream, whose response is not a stream.
      this.retryOrFail("failed", `${target.description} answered ${String(head.status)}`);
    } else {
      target.recordSuccess();
      this.complete(attempt, head);
    }
  }

  private complete(attempt: Attempt, head: ResponseHead): void {
    const report = attempt.target.getReport(this.dependencies.getNow());
    this.answer.complete(attempt, head, this.request.method === "HEAD", report);
    this.origin.recordEnd();
    this.finish("answered");
  }

  /** Retries at another upstream where that is allowed, else relays the upstream's error response. */
  private handleServerError(attempt: Attempt, head: ResponseHead): void {
    this.recordFailure(attempt.target);
    const detail = `${attempt.target.description} answered ${String(head.status)}`;
    if (this.mayRetry("failed", detail)) {
      this.send();
    } else if (this.response.isStarted()) {
      this.abort("broken");
    } else {
      this.complete(attempt, head);
    }
  }

  private handleFailure(failure: ExchangeFailure): void {
    const { end, detail, hasConnectFailed, wasClosedByUpstream } = failure;
    const attempt = this.attempt;
    if (this.isFinished || attempt === undefined) {
      return;
    }
    const isRefused = attempt.head?.meaning === "refusal";
    if (end === "notSent") {
      this.recordNotSent(attempt.target, hasConnectFailed);
    } else if (!isRefused) {
      this.recordFailure(attempt.target);
      this.report.recordLoss(attempt, detail);
      if (wasClosedByUpstream) {
        this.evidence.recordLoss(attempt, this.dependencies.getNow());
      }
    }
    this.endAttempt();
    this.retryOrFail(isRefused ? "refused" : end, `${attempt.target.description}: ${detail}`);
  }

  private retryOrFail(end: AttemptEnd, detail: string): void {
    if (this.mayRetry(end, detail)) {
      this.send();
    } else {
      const name = end === "refused" ? "upstream-refused" : "no-upstream";
      this.fail({ name, detail, retryAfterSeconds: undefined });
    }
  }

  private mayRetry(end: AttemptEnd, detail: string): boolean {
    this.lastFailure = detail;
    const isResumable = this.answer.stream.isResumable();
    const decision = isResumable && decideRequestRetry(this.dependencies, this.request, end, this);
    if (decision === "retry") {
      this.report.recordRetry(end, this);
    }
    return decision === "retry";
  }

  /** Ends the request with a refusal that says whether the request may have run. */
  private fail({ name: notRunName, detail, retryAfterSeconds }: Refusal): void {
    if (this.response.isStarted()) {
      this.abort("broken");
      return;
    }
    const name = this.runs > 0 ? "upstream-failed" : notRunName;
    this.response.refuse(
      name,
      this.lastFailure === "" ? detail : this.lastFailure,
      retryAfterSeconds,
    );
    this.finish(name);
  }

  /**
   * Ends the request, because its time or that of the daemon is over.
   * @param limit - What the caller is told.
   */
  handleTimeLimit({ notRunName, cutOutcome, detail }: TimeLimit): void {
    if (this.isFinished) {
      return;
    }
    const { attempt } = this;
    const hasPerhapsRun = mayHaveRun(this.runs, attempt);
    this.slowAttemptMonitor.recordFailureIfUnresponsive(this.attempt);
    this.cancelAttempt();
    if (this.response.isStarted()) {
      this.abort(cutOutcome);
      return;
    }
    const name = hasPerhapsRun ? "deadline-exceeded" : notRunName;
    this.response.refuse(name, detail);
    this.finish(name);
  }

  private abort(outcome: ActiveRequestOutcome): void {
    this.response.abort();
    this.finish(outcome);
  }

  /** Records that a target did not get the request; a peer that cannot take it counts as no refusal. */
  private recordNotSent(target: AttemptTarget, hasConnectFailed: boolean): void {
    target.recordNotSent(hasConnectFailed);
    this.runs -= 1;
    this.refusals += target.upstream === undefined ? 0 : 1;
  }

  private recordFailure(target: AttemptTarget): void {
    target.recordFailure(this.dependencies.getNow());
  }

  private endAttempt(isComplete = false): void {
    this.slowAttemptMonitor.stop();
    this.attempt?.finish();
    this.attempt = undefined;
    this.admission.recordEnd(isComplete);
  }

  private cancelAttempt(): void {
    this.attempt?.cancel();
    this.endAttempt();
  }

  private finish(outcome: ActiveRequestOutcome): void {
    this.isFinished = true;
    this.deadlineTimer?.stop();
    this.admission.stop();
    this.answer.clear();
    this.report.recordEnd(outcome, this, this.target, this.firstByteAt);
  }
}
