import { Controller, Inject, Post, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { ActTask } from "../acts/index.js";
import { CallerRequestPipeline } from "./CallerRequestPipeline.js";

/** Mints keys for acts. */
@Controller("v1/acts")
export class ActsController {
  constructor(
    @Inject(CallerRequestPipeline) private readonly gate: CallerRequestPipeline,
    @Inject(ActTask) private readonly acts: ActTask,
  ) {}

  /**
   * Mints an act key.
   * @param request - Request of the HTTP server.
   * @param reply - Its reply.
   */
  @Post()
  async createKey(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    await this.gate.serve("act-key", request, reply, (taken, sink) =>
      this.acts.createKey(taken, sink),
    );
  }
}
