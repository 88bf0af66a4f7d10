import { Controller, Inject, Post, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { ChatTask } from "../chat/index.js";
import { CallerRequestPipeline } from "./CallerRequestPipeline.js";

/** Routes chat completion requests to the chat task. */
@Controller("v1/chat")
export class ChatController {
  constructor(
    @Inject(CallerRequestPipeline) private readonly pipeline: CallerRequestPipeline,
    @Inject(ChatTask) private readonly chats: ChatTask,
  ) {}

  /**
   * Serves a chat completion, as one response or as a stream.
   * @param request - Request of the HTTP server.
   * @param reply - Reply to it.
   */
  @Post("completions")
  async complete(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    await this.pipeline.serve("chat", request, reply, (callerRequest, writer) =>
      this.chats.run(callerRequest, writer),
    );
  }
}
