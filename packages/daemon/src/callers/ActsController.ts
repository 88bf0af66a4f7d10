import { Controller, Inject, Post, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { ActTask } from "../acts/index.js";
import { CallerRequestPipeline } from "./CallerRequestPipeline.js";

/** Issues keys for acts: calls that are not idempotent and run at most once. */
@Controller("v1/acts")
export class ActsController {
  constructor(
    @Inject(CallerRequestPipeline) private readonly pipeline: CallerRequestPipeline,
    @Inject(ActTask) private readonly acts: ActTask,
  ) {}

  /**
   * Issues an act key.
   * @param request - Request of the HTTP server.
   * @param reply - Reply to it.
   */
  @Post()
  async issueKey(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    await this.pipeline.serve("act-key", request, reply, (callerRequest, writer) =>
      this.acts.issueKey(callerRequest, writer),
    );
  }
}
