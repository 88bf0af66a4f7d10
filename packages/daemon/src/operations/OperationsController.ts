import { Controller, Get, Inject, Query, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { OperationsView } from "./OperationsView.js";

const notReadyStatus = 503;
const maxChatIdCharacters = 200;

/** Serves operators: liveness, readiness, metrics, status, timeline and explanations. */
@Controller()
export class OperationsController {
  constructor(@Inject(OperationsView) private readonly view: OperationsView) {}

  /** Reports that the process is running. */
  @Get("healthz")
  getHealth(): { readonly status: string } {
    return { status: "ok" };
  }

  /**
   * Reports to the load balancer whether this daemon accepts requests.
   * @param reply - Reply of the HTTP server.
   */
  @Get("readyz")
  async getReadiness(@Res() reply: FastifyReply): Promise<void> {
    const state = this.view.getState();
    await reply.code(state === "ready" ? 200 : notReadyStatus).send({ status: state });
  }

  /**
   * Gets the metrics in the Prometheus text format.
   * @param reply - Reply of the HTTP server.
   */
  @Get("metrics")
  async getMetrics(@Res() reply: FastifyReply): Promise<void> {
    const metrics = await this.view.getMetrics();
    await reply.header("content-type", metrics.contentType).send(metrics.text);
  }

  /** Gets the status of this daemon and of the fleet as known to it. */
  @Get("v1/status")
  getStatus(): ReturnType<OperationsView["getStatus"]> {
    return this.view.getStatus();
  }

  /**
   * Gets a page of the timeline.
   * @param after - Sequence number of the last event that the reader has.
   * @param id - Selects the events that have this id in a field.
   */
  @Get("v1/events")
  getEvents(
    @Query("after") after: string | undefined,
    @Query("id") id: string | undefined,
  ): ReturnType<OperationsView["getEvents"]> {
    const sequence = Number(after ?? 0);
    return this.view.getEvents(Number.isSafeInteger(sequence) ? Math.max(0, sequence) : 0, id);
  }

  /**
   * Explains at which engine a chat would be placed.
   * @param request - Request with `chat`, `model` and optionally `team` in its query.
   * @param reply - Reply of the HTTP server.
   */
  @Get("v1/explain")
  async explain(
    @Req() request: FastifyRequest<{ Querystring: Record<string, string | undefined> }>,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const { chat, model, team } = request.query;
    if (chat === undefined || model === undefined || chat.length > maxChatIdCharacters) {
      await reply.code(400).send({ error: 'query needs "chat" and "model"' });
      return;
    }
    const explanation = this.view.explain(chat, model, team);
    if (explanation === undefined) {
      await reply.code(404).send({ error: `model "${model}" is not in the configuration` });
      return;
    }
    await reply.send(explanation);
  }
}
