import { All, Controller, Inject, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { ServiceTask } from "../services/index.js";
import { CallerRequestPipeline } from "./CallerRequestPipeline.js";

/** Routes calls of plain services to the service task. */
@Controller("v1/services")
export class ServicesController {
  constructor(
    @Inject(CallerRequestPipeline) private readonly pipeline: CallerRequestPipeline,
    @Inject(ServiceTask) private readonly services: ServiceTask,
  ) {}

  /**
   * Serves a call of a plain service.
   * @param request - Request of the HTTP server.
   * @param reply - Reply to it.
   */
  @All(":service/*")
  async call(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    await this.pipeline.serve("service", request, reply, (callerRequest, writer) =>
      this.services.run(callerRequest, writer),
    );
  }
}
