import { All, Controller, Inject, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { ServiceTask } from "../services/index.js";
import { CallerRequestPipeline } from "./CallerRequestPipeline.js";

/** Calls of plain services. */
@Controller("v1/services")
export class ServicesController {
  constructor(
    @Inject(CallerRequestPipeline) private readonly gate: CallerRequestPipeline,
    @Inject(ServiceTask) private readonly services: ServiceTask,
  ) {}

  /**
   * Serves a call of a plain service.
   * @param request - Request of the HTTP server.
   * @param reply - Its reply.
   */
  @All(":service/*")
  async call(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    await this.gate.serve("service", request, reply, (taken, sink) =>
      this.services.run(taken, sink),
    );
  }
}
