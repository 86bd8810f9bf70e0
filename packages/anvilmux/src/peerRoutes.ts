/** RPC handlers for other instances. Services are resolved per call, since the server listens before they start. */

import { toJobId } from "@anvilmux/common";
import { runTasks } from "@anvilmux/jobs";
import type { Kernel, ServiceToken } from "@anvilmux/kernel";
import {
    CancelTasksReplySchema,
    ConsensusService,
    ExplainReplySchema,
    HeldJobReplySchema,
    PeerService,
} from "@anvilmux/protocol";
import type { StewardReply, StewardRequest } from "@anvilmux/protocol";
import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import type { ConnectRouter } from "@connectrpc/connect";
import {
    clockToken,
    configurationToken,
    controlToken,
    decisionsToken,
    jobsToken,
    membershipToken,
    slotsToken,
    taskPoolToken,
} from "./tokens";

const requireService = <Service>(kernel: Kernel, token: ServiceToken<Service>): Service => {
    const service = kernel.find(token);
    if (service === undefined) {
        throw new ConnectError(`service "${token.name}" is not running here`, Code.Unavailable);
    }
    return service;
};

export const registerPeerRoutes = (router: ConnectRouter, kernel: Kernel): void => {
    router.service(PeerService, {
        gossip: request => requireService(kernel, membershipToken).receive(request),
        steward: requests => serveSteward(kernel, requests),
        fetchConfiguration: request => requireService(kernel, configurationToken).handleFetch(request.knownIndex),
        runTasks: request =>
            runTasks(request, requireService(kernel, taskPoolToken), requireService(kernel, clockToken)),
        cancelTasks: request =>
            create(CancelTasksReplySchema, {
                cancelled: requireService(kernel, taskPoolToken).cancelJob(toJobId(request.jobId)),
            }),
        heldJob: async request => {
            const jobs = requireService(kernel, jobsToken);
            const id = toJobId(request.jobId);
            const document = request.cancel
                ? await jobs.cancel(id, request.team)
                : await jobs.fetch(id, request.team, request.waitMs);
            return create(HeldJobReplySchema, {
                found: document !== undefined,
                document: JSON.stringify(document ?? {}),
            });
        },
        explain: request =>
            create(ExplainReplySchema, { lines: [...requireService(kernel, decisionsToken).explain(request.id)] }),
    });
    registerConsensus(router, kernel);
};

async function* serveSteward(kernel: Kernel, requests: AsyncIterable<StewardRequest>): AsyncIterable<StewardReply> {
    const iterator = requests[Symbol.asyncIterator]();
    const first = await iterator.next();
    const hello = first.done ? undefined : first.value.hello;
    if (!hello) {
        throw new ConnectError("the first message must be a hello", Code.InvalidArgument);
    }
    yield* requireService(kernel, slotsToken).get(hello.service).serveStream(hello, iterator);
}

/** Registers the consensus calls also on instances without a replica, where they fail with `Unavailable`. */
const registerConsensus = (router: ConnectRouter, kernel: Kernel): void => {
    const getReplica = () => requireService(kernel, controlToken);
    router.service(ConsensusService, {
        requestVote: request => getReplica().replica.handleVote(request),
        appendEntries: request => getReplica().replica.handleAppend(request),
        installSnapshot: chunk => getReplica().replica.handleSnapshot(chunk),
        identify: () => getReplica().identify(),
        form: request => getReplica().form(request),
        propose: request => getReplica().propose(request),
        readGroup: () => getReplica().readGroup(),
    });
};
