import { Controller, Inject, Post, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { ChatTask } from "../chat/index.js";
import { CallerRequestPipeline } from "./CallerRequestPipeline.js";

/** The chat completion listener. */
@Controller("v1/chat")
export class ChatController {
  constructor(
    @Inject(CallerRequestPipeline) private readonly gate: CallerRequestPipeline,
    @Inject(ChatTask) private readonly chats: ChatTask,
  ) {}

  /**
   * Serves a chat completion, whole or streamed.
   * @param request - Request of the HTTP server.
   * @param reply - Its reply.
   */
  @Post("completions")
  async complete(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    await this.gate.serve("chat", request, reply, (taken, sink) => this.chats.run(taken, sink));
  }
}
