import { Module, type DynamicModule } from "@nestjs/common";
import { NestFactory } from "@nestjs/core";
import { FastifyAdapter, type NestFastifyApplication } from "@nestjs/platform-fastify";
import type { FastifyError, FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { ActTask } from "../acts/index.js";
import { ChatTask } from "../chat/index.js";
import { ServiceTask } from "../services/index.js";
import { ActsController } from "./ActsController.js";
import { CallerRequestPipeline } from "./CallerRequestPipeline.js";
import { ChatController } from "./ChatController.js";
import { getRoutingProblem } from "./getRoutingProblem.js";
import { ProblemFilter } from "./ProblemFilter.js";
import { refuseUnreadable } from "./refuseUnreadable.js";
import { ServicesController } from "./ServicesController.js";

/** The dependencies of the callers' listener. */
export interface CallersApplicationDependencies {
  readonly pipeline: CallerRequestPipeline;
  readonly chats: ChatTask;
  readonly services: ServiceTask;
  readonly acts: ActTask;
  readonly bodyBytes: number;
  readonly createRequestId: () => string;
  readonly onInternalError: (error: unknown) => void;
}

@Module({})
class CallersModule {}

/**
 * Creates the HTTP application of the callers' listener.
 * @param dependencies - The dependencies of the listener.
 */
export async function createCallersApplication(
  dependencies: CallersApplicationDependencies,
): Promise<NestFastifyApplication> {
  const { pipeline } = dependencies;
  const adapter = new FastifyAdapter({
    bodyLimit: dependencies.bodyBytes,
    genReqId: dependencies.createRequestId,
    forceCloseConnections: "idle",
    return503OnClosing: false,
    frameworkErrors: ({ code }: FastifyError, request: unknown, reply: unknown) => {
      refuseUnroutable(pipeline, code, request as FastifyRequest, reply as FastifyReply);
    },
    clientErrorHandler: (error, socket) => {
      const isAnswerDue = pipeline.requests.getCountOn(socket) > 0;
      refuseUnreadable(error, socket, dependencies.createRequestId(), isAnswerDue);
    },
  });
  const application = await NestFactory.create<NestFastifyApplication>(
    createCallersModule(dependencies),
    adapter,
    { logger: false, bodyParser: false },
  );
  keepBodiesAsBytes(application);
  acceptHeads(application, pipeline);
  const createWriter = pipeline.createWriter.bind(pipeline);
  application.useGlobalFilters(ProblemFilter.create(createWriter, dependencies.onInternalError));
  return application;
}

function refuseUnroutable(
  pipeline: CallerRequestPipeline,
  code: string,
  request: FastifyRequest,
  reply: FastifyReply,
): void {
  pipeline.acceptUnroutable(request, reply, getRoutingProblem(code, request.url));
}

/** Accepts each request before its body is read. */
function acceptHeads(application: NestFastifyApplication, pipeline: CallerRequestPipeline): void {
  // Nest declares the types of its own copy of Fastify.
  const server = application.getHttpAdapter().getInstance() as unknown as FastifyInstance;
  server.addHook("onRequest", (request, reply, done) => {
    if (pipeline.accept(request, reply)) {
      done();
    }
  });
}

function createCallersModule(dependencies: CallersApplicationDependencies): DynamicModule {
  return {
    module: CallersModule,
    controllers: [ChatController, ActsController, ServicesController],
    providers: [
      { provide: CallerRequestPipeline, useValue: dependencies.pipeline },
      { provide: ChatTask, useValue: dependencies.chats },
      { provide: ServiceTask, useValue: dependencies.services },
      { provide: ActTask, useValue: dependencies.acts },
    ],
  };
}

/** Leaves bodies unparsed, since they are forwarded as received; the tasks parse what they need. */
function keepBodiesAsBytes(application: NestFastifyApplication): void {
  const server = application.getHttpAdapter().getInstance();
  server.removeAllContentTypeParsers();
  server.addContentTypeParser("*", { parseAs: "buffer" }, (_request, body, done) => {
    done(null, body);
  });
}
