import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import type { LivenessAnswer } from "./LivenessConnection.js";

const firstFinalStatus = 200;
/** Size of the largest body of a health answer, which nobody reads. */
const maxBodyBytes = 65_536;

/** One question for the health of a process. Any final status is an answer, also that of a full queue. */
export class HealthExchange implements Dispatcher.DispatchHandler {
  /** Resolves to what became of the question; never rejects. */
  readonly answer: Promise<LivenessAnswer>;
  /** Whether the head of the answer has come. */
  private hasHead = false;
  private isOver = false;
  private resolve: (answer: LivenessAnswer) => void = () => undefined;
  private headers: IncomingHttpHeaders = {};
  private bodyBytes = 0;

  private constructor() {
    this.answer = new Promise((resolve) => {
      this.resolve = resolve;
    });
  }

  /** Creates a question that is not asked yet. */
  static create(): HealthExchange {
    return new HealthExchange();
  }

  /** Checks whether the answer has begun and has not ended. */
  isAnswering(): boolean {
    return this.hasHead && !this.isOver;
  }

  /** Ends the question, as its time is over. */
  giveUp(): void {
    this.end(this.hasHead ? this.getAnswer() : { kind: "silent" });
  }

  onRequestStart(): void {
    // The HTTP client tells handlers by this method from those of an earlier form.
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (statusCode >= firstFinalStatus) {
      this.hasHead = true;
      this.headers = headers;
    }
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.bodyBytes += chunk.length;
    if (this.bodyBytes > maxBodyBytes) {
      controller.abort(new Error("the health answer is too large"));
    }
  }

  onResponseEnd(): void {
    this.end(this.getAnswer());
  }

  onResponseError(): void {
    this.end(this.hasHead ? this.getAnswer() : { kind: "ended" });
  }

  private end(answer: LivenessAnswer): void {
    this.isOver = true;
    this.resolve(answer);
  }

  private getAnswer(): LivenessAnswer {
    return { kind: "answered", headers: this.headers };
  }
}
