/** Messages and services spoken between instances, generated from `proto/anvilmux/v1/peer.proto`. */
export * from "./generated/anvilmux/v1/peer_pb";
