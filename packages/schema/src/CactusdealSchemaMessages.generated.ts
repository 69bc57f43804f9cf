/* Generated from schemas/messages.json by `npm run generate`. Do not edit. */

export type WorkerState = 'starting' | 'ready' | 'draining' | 'gone';

/**
 * Messages between daemons, and the records in them.
 */
export interface MessagesSchema {
  member?: MemberRecord;
  summary?: ServiceSummary;
  announcement?: WorkerAnnouncement;
  helloMessage?: HelloMessage;
  refusalMessage?: RefusalMessage;
  heartbeatMessage?: HeartbeatMessage;
  gossipMessage?: GossipMessage;
  iHaveMessage?: IHaveMessage;
  graftMessage?: GraftMessage;
  pruneMessage?: PruneMessage;
  bucketHashesMessage?: BucketHashesMessage;
  bucketItemsMessage?: BucketItemsMessage;
  linkDigestMessage?: LinkDigestMessage;
  pullMessage?: PullMessage;
  summariesMessage?: SummariesMessage;
  probeMessage?: ProbeMessage;
  probeAnswerMessage?: ProbeAnswerMessage;
  digestMessage?: DigestMessage;
  entriesMessage?: EntriesMessage;
  snapshotMessage?: SnapshotMessage;
  itemsMessage?: ItemsMessage;
  surveyMessage?: SurveyMessage;
  surveyAnswerMessage?: SurveyAnswerMessage;
  memberRejection?: MemberRejection;
  remoteItem?: RemoteItem;
  surveyDeclineMessage?: SurveyDeclineMessage;
}
/**
 * Membership record of one daemon, replicated within its data centre.
 */
export interface MemberRecord {
  id: string;
  dataCentre: string;
  /**
   * Increased by the member itself with each change of its record.
   */
  incarnation: number;
  meshAddress: string;
  callsAddress: string;
  adminAddress: string;
  /**
   * Mesh address for daemons of other data centres; the same as meshAddress when absent.
   */
  remoteMeshAddress?: string;
  /**
   * Calls address for daemons of other data centres; the same as callsAddress when absent.
   */
  remoteCallsAddress?: string;
  /**
   * State of the daemon, not of its upstream.
   */
  state: 'alive' | 'suspect' | 'left' | 'dead';
  worker?: Worker;
}
/**
 * The upstream on a daemon's host, as last announced.
 */
export interface Worker {
  name: string;
  /**
   * @minItems 1
   * @maxItems 16
   */
  services: string[];
  slots: number;
  state: WorkerState;
  /**
   * Time at which it became ready, by its daemon's wall clock, in milliseconds.
   */
  readyAtMs: number;
}
/**
 * Capacity and gates of a service in one data centre, for daemons of other data centres that send calls there.
 */
export interface ServiceSummary {
  dataCentre: string;
  service: string;
  readySlots: number;
  /**
   * Some of the gates to which calls can be sent, not one for every worker.
   *
   * @maxItems 8
   */
  gates: SummaryGate[];
}
export interface SummaryGate {
  memberId: string;
  callsAddress: string;
  worker: string;
  slots: number;
}
/**
 * Body of the announcement that an upstream sends to the daemon on its host.
 */
export interface WorkerAnnouncement {
  /**
   * IP address and port of the upstream.
   */
  address: string;
  /**
   * @minItems 1
   * @maxItems 16
   */
  services: string[];
  slots: number;
  state: 'starting' | 'ready' | 'draining';
}
/**
 * First frame that each side of a connection sends.
 */
export interface HelloMessage {
  type: 'hello';
  protocol: number;
  cluster: string;
  dataCentre: string;
  id: string;
  incarnation: number;
  meshAddress: string;
  purpose: 'join' | 'peer' | 'probe' | 'link';
}
/**
 * Last frame of a connection that its sender refuses and closes.
 */
export interface RefusalMessage {
  type: 'refusal';
  kind: string;
  message: string;
  /**
   * @maxItems 16
   */
  contacts: string[];
}
/**
 * Shows that the sender is alive.
 */
export interface HeartbeatMessage {
  type: 'heartbeat';
}
/**
 * One value of an epidemic broadcast, pushed along the broadcast tree.
 */
export interface GossipMessage {
  type: 'gossip';
  id: string;
  hops: number;
  /**
   * A member record, a log entry, a notice or summaries.
   */
  body: {
    [k: string]: unknown;
  };
}
/**
 * Ids of values that the sender holds and can send.
 */
export interface IHaveMessage {
  type: 'ihave';
  /**
   * @maxItems 256
   */
  ids: string[];
}
/**
 * Requests values, and that later values be pushed to the sender.
 */
export interface GraftMessage {
  type: 'graft';
  /**
   * @maxItems 256
   */
  ids: string[];
}
/**
 * Requests that later values be announced to the sender by id and no longer pushed.
 */
export interface PruneMessage {
  type: 'prune';
}
/**
 * Hash of each bucket of a replicated table of the sender.
 */
export interface BucketHashesMessage {
  type: 'bucket-hashes';
  /**
   * Name of the replicated table.
   */
  table: 'members' | 'summaries';
  /**
   * Items with a later timestamp are left out; wall clock, in milliseconds.
   */
  cutoffMs: number;
  /**
   * @maxItems 64
   */
  hashes: number[];
}
/**
 * Versions of the items that the sender holds in some buckets of a replicated table.
 */
export interface BucketItemsMessage {
  type: 'bucket-items';
  /**
   * Name of the replicated table.
   */
  table: 'members' | 'summaries';
  /**
   * Items with a later timestamp are left out; wall clock, in milliseconds.
   */
  cutoffMs: number;
  /**
   * @maxItems 64
   */
  buckets: number[];
  /**
   * @maxItems 50000
   */
  items: ItemVersion[];
}
/**
 * Version of an item that the sender holds.
 */
export interface ItemVersion {
  key: string;
  /**
   * Incarnation of a member, or time at which a summary was made.
   */
  stamp: number;
  /**
   * Precedence among items with the same stamp; the higher one replaces the lower.
   */
  order: number;
}
/**
 * State of a reader candidate, sent to a reader candidate of another data centre.
 */
export interface LinkDigestMessage {
  type: 'link-digest';
  version: number;
  headVersion: number;
  /**
   * Latest timestamp that the sender holds for the receiver's data centre.
   */
  summaryStampMs: number;
  /**
   * Hash of the service summaries that the sender holds for the receiver's data centre.
   */
  summaryHash: string;
  /**
   * Mesh addresses of the reader candidates; left out when unchanged since the previous digest.
   *
   * @maxItems 8
   */
  readers?: string[];
}
/**
 * Requests the log entries after a version.
 */
export interface PullMessage {
  type: 'pull';
  headVersion: number;
}
/**
 * Summaries of the services of the sender's data centre: the changed ones, or all when isFull is set.
 */
export interface SummariesMessage {
  type: 'summaries';
  stampMs: number;
  isFull: boolean;
  /**
   * @maxItems 20000
   */
  summaries: ServiceSummary[];
}
/**
 * Asks the receiver to probe a member over a new connection, for indirect failure detection.
 */
export interface ProbeMessage {
  type: 'probe';
  id: string;
  address: string;
}
/**
 * Whether the probed member answered.
 */
export interface ProbeAnswerMessage {
  type: 'probe-answer';
  id: string;
  reached: boolean;
}
/**
 * Versions and hashes of what the sender holds, from which the receiver finds and repairs differences.
 */
export interface DigestMessage {
  type: 'digest';
  version: number;
  headVersion: number;
  membersHash: string;
  summariesHash: string;
  /**
   * Items with a later timestamp are left out; wall clock, in milliseconds.
   */
  cutoffMs: number;
  /**
   * Whether the receiver should send its own digest in return.
   */
  reply: boolean;
}
/**
 * Log entries that the receiver lacks, in order.
 */
export interface EntriesMessage {
  type: 'entries';
  /**
   * @maxItems 10000
   *
   * Items: A log entry.
   */
  entries: {
    [k: string]: unknown;
  }[];
}
/**
 * The whole configuration, for a receiver that is too far behind to be sent log entries.
 */
export interface SnapshotMessage {
  type: 'snapshot';
  /**
   * The snapshot.
   */
  snapshot: {
    [k: string]: unknown;
  };
  hash: string;
}
/**
 * Items that the receiver lacks, and the keys of items that the sender lacks.
 */
export interface ItemsMessage {
  type: 'items';
  /**
   * Name of the replicated table.
   */
  table: 'members' | 'summaries';
  /**
   * @maxItems 1000
   *
   * Items: A member record or a remote item.
   */
  items: {
    [k: string]: unknown;
  }[];
  /**
   * @maxItems 20000
   */
  wanted: string[];
  /**
   * Whether this is the last message of the answer.
   */
  isLast: boolean;
}
/**
 * Asks the receiver, and through it other daemons, which versions they hold.
 */
export interface SurveyMessage {
  type: 'survey';
  id: string;
  version: number;
  /**
   * Time left for the answer, in milliseconds.
   */
  deadlineMs: number;
}
/**
 * Versions held by the sender and by the daemons that were asked through it.
 */
export interface SurveyAnswerMessage {
  type: 'survey-answer';
  id: string;
  answered: number;
  lowestVersion: number;
  highestVersion: number;
  /**
   * @maxItems 32
   */
  stragglers: string[];
  /**
   * @maxItems 32
   */
  rejections: MemberRejection[];
}
/**
 * Rejection of one version by one daemon.
 */
export interface MemberRejection {
  memberId: string;
  version: number;
  kind: string;
  message: string;
}
/**
 * Information about another data centre: a service there, or whether a member of this data centre has a link to it.
 */
export interface RemoteItem {
  dataCentre: string;
  /**
   * Timestamp in milliseconds; an item with a later one replaces an item with an earlier one.
   */
  stampMs: number;
  summary?: ServiceSummary;
  link?: LinkState;
}
export interface LinkState {
  memberId: string;
  isUp: boolean;
  /**
   * Mesh addresses of the reader candidates of that data centre.
   *
   * @maxItems 8
   */
  readers: string[];
}
/**
 * Answer of a daemon that has already received the same survey from another daemon.
 */
export interface SurveyDeclineMessage {
  type: 'survey-decline';
  id: string;
}

/** The schema, for validation at run time. */
export const messagesSchema = {
  "$id": "messages",
  "title": "MessagesSchema",
  "description": "Messages between daemons, and the records in them.",
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "member": {
      "$ref": "#/definitions/MemberRecord"
    },
    "summary": {
      "$ref": "#/definitions/ServiceSummary"
    },
    "announcement": {
      "$ref": "#/definitions/WorkerAnnouncement"
    },
    "helloMessage": {
      "$ref": "#/definitions/HelloMessage"
    },
    "refusalMessage": {
      "$ref": "#/definitions/RefusalMessage"
    },
    "heartbeatMessage": {
      "$ref": "#/definitions/HeartbeatMessage"
    },
    "gossipMessage": {
      "$ref": "#/definitions/GossipMessage"
    },
    "iHaveMessage": {
      "$ref": "#/definitions/IHaveMessage"
    },
    "graftMessage": {
      "$ref": "#/definitions/GraftMessage"
    },
    "pruneMessage": {
      "$ref": "#/definitions/PruneMessage"
    },
    "bucketHashesMessage": {
      "$ref": "#/definitions/BucketHashesMessage"
    },
    "bucketItemsMessage": {
      "$ref": "#/definitions/BucketItemsMessage"
    },
    "linkDigestMessage": {
      "$ref": "#/definitions/LinkDigestMessage"
    },
    "pullMessage": {
      "$ref": "#/definitions/PullMessage"
    },
    "summariesMessage": {
      "$ref": "#/definitions/SummariesMessage"
    },
    "probeMessage": {
      "$ref": "#/definitions/ProbeMessage"
    },
    "probeAnswerMessage": {
      "$ref": "#/definitions/ProbeAnswerMessage"
    },
    "digestMessage": {
      "$ref": "#/definitions/DigestMessage"
    },
    "entriesMessage": {
      "$ref": "#/definitions/EntriesMessage"
    },
    "snapshotMessage": {
      "$ref": "#/definitions/SnapshotMessage"
    },
    "itemsMessage": {
      "$ref": "#/definitions/ItemsMessage"
    },
    "surveyMessage": {
      "$ref": "#/definitions/SurveyMessage"
    },
    "surveyAnswerMessage": {
      "$ref": "#/definitions/SurveyAnswerMessage"
    },
    "memberRejection": {
      "$ref": "#/definitions/MemberRejection"
    },
    "remoteItem": {
      "$ref": "#/definitions/RemoteItem"
    },
    "surveyDeclineMessage": {
      "$ref": "#/definitions/SurveyDeclineMessage"
    }
  },
  "definitions": {
    "WorkerState": {
      "enum": [
        "starting",
        "ready",
        "draining",
        "gone"
      ]
    },
    "Worker": {
      "description": "The upstream on a daemon's host, as last announced.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "name",
        "services",
        "slots",
        "state",
        "readyAtMs"
      ],
      "properties": {
        "name": {
          "type": "string",
          "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"
        },
        "services": {
          "type": "array",
          "items": {
            "type": "string"
          },
          "minItems": 1,
          "maxItems": 16
        },
        "slots": {
          "type": "integer",
          "minimum": 1,
          "maximum": 10000
        },
        "state": {
          "$ref": "#/definitions/WorkerState"
        },
        "readyAtMs": {
          "description": "Time at which it became ready, by its daemon's wall clock, in milliseconds.",
          "type": "integer",
          "minimum": 0
        }
      }
    },
    "WorkerAnnouncement": {
      "description": "Body of the announcement that an upstream sends to the daemon on its host.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "address",
        "services",
        "slots",
        "state"
      ],
      "properties": {
        "address": {
          "description": "IP address and port of the upstream.",
          "type": "string",
          "pattern": "^(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):([1-9]\\d{0,3}|[1-5]\\d{4}|6[0-4]\\d{3}|65[0-4]\\d{2}|655[0-2]\\d|6553[0-5])$"
        },
        "services": {
          "type": "array",
          "items": {
            "type": "string",
            "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"
          },
          "minItems": 1,
          "maxItems": 16
        },
        "slots": {
          "type": "integer",
          "minimum": 1,
          "maximum": 10000
        },
        "state": {
          "enum": [
            "starting",
            "ready",
            "draining"
          ]
        }
      }
    },
    "MemberRecord": {
      "description": "Membership record of one daemon, replicated within its data centre.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "id",
        "dataCentre",
        "incarnation",
        "meshAddress",
        "callsAddress",
        "adminAddress",
        "state"
      ],
      "properties": {
        "id": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "dataCentre": {
          "type": "string"
        },
        "incarnation": {
          "description": "Increased by the member itself with each change of its record.",
          "type": "integer",
          "minimum": 0
        },
        "meshAddress": {
          "type": "string"
        },
        "callsAddress": {
          "type": "string"
        },
        "adminAddress": {
          "type": "string"
        },
        "remoteMeshAddress": {
          "description": "Mesh address for daemons of other data centres; the same as meshAddress when absent.",
          "type": "string"
        },
        "remoteCallsAddress": {
          "description": "Calls address for daemons of other data centres; the same as callsAddress when absent.",
          "type": "string"
        },
        "state": {
          "description": "State of the daemon, not of its upstream.",
          "enum": [
            "alive",
            "suspect",
            "left",
            "dead"
          ]
        },
        "worker": {
          "$ref": "#/definitions/Worker"
        }
      }
    },
    "ServiceSummary": {
      "description": "Capacity and gates of a service in one data centre, for daemons of other data centres that send calls there.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "dataCentre",
        "service",
        "readySlots",
        "gates"
      ],
      "properties": {
        "dataCentre": {
          "type": "string"
        },
        "service": {
          "type": "string"
        },
        "readySlots": {
          "type": "integer",
          "minimum": 0
        },
        "gates": {
          "description": "Some of the gates to which calls can be sent, not one for every worker.",
          "type": "array",
          "maxItems": 8,
          "items": {
            "title": "SummaryGate",
            "type": "object",
            "additionalProperties": false,
            "required": [
              "memberId",
              "callsAddress",
              "worker",
              "slots"
            ],
            "properties": {
              "memberId": {
                "type": "string"
              },
              "callsAddress": {
                "type": "string"
              },
              "worker": {
                "type": "string"
              },
              "slots": {
                "type": "integer",
                "minimum": 1
              }
            }
          }
        }
      }
    },
    "HelloMessage": {
      "description": "First frame that each side of a connection sends.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "protocol",
        "cluster",
        "dataCentre",
        "id",
        "incarnation",
        "meshAddress",
        "purpose"
      ],
      "properties": {
        "type": {
          "const": "hello"
        },
        "protocol": {
          "type": "integer",
          "minimum": 1
        },
        "cluster": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "dataCentre": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "id": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "incarnation": {
          "type": "integer",
          "minimum": 0
        },
        "meshAddress": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "purpose": {
          "enum": [
            "join",
            "peer",
            "probe",
            "link"
          ]
        }
      }
    },
    "RefusalMessage": {
      "description": "Last frame of a connection that its sender refuses and closes.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "kind",
        "message",
        "contacts"
      ],
      "properties": {
        "type": {
          "const": "refusal"
        },
        "kind": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "message": {
          "type": "string",
          "maxLength": 200
        },
        "contacts": {
          "type": "array",
          "maxItems": 16,
          "items": {
            "type": "string",
            "minLength": 1,
            "maxLength": 64
          }
        }
      }
    },
    "HeartbeatMessage": {
      "description": "Shows that the sender is alive.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type"
      ],
      "properties": {
        "type": {
          "const": "heartbeat"
        }
      }
    },
    "GossipMessage": {
      "description": "One value of an epidemic broadcast, pushed along the broadcast tree.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "id",
        "hops",
        "body"
      ],
      "properties": {
        "type": {
          "const": "gossip"
        },
        "id": {
          "type": "string",
          "minLength": 1,
          "maxLength": 160
        },
        "hops": {
          "type": "integer",
          "minimum": 0,
          "maximum": 10000
        },
        "body": {
          "description": "A member record, a log entry, a notice or summaries.",
          "type": "object",
          "additionalProperties": true
        }
      }
    },
    "IHaveMessage": {
      "description": "Ids of values that the sender holds and can send.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "ids"
      ],
      "properties": {
        "type": {
          "const": "ihave"
        },
        "ids": {
          "type": "array",
          "maxItems": 256,
          "items": {
            "type": "string",
            "minLength": 1,
            "maxLength": 160
          }
        }
      }
    },
    "GraftMessage": {
      "description": "Requests values, and that later values be pushed to the sender.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "ids"
      ],
      "properties": {
        "type": {
          "const": "graft"
        },
        "ids": {
          "type": "array",
          "maxItems": 256,
          "items": {
            "type": "string",
            "minLength": 1,
            "maxLength": 160
          }
        }
      }
    },
    "PruneMessage": {
      "description": "Requests that later values be announced to the sender by id and no longer pushed.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type"
      ],
      "properties": {
        "type": {
          "const": "prune"
        }
      }
    },
    "BucketHashesMessage": {
      "description": "Hash of each bucket of a replicated table of the sender.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "table",
        "cutoffMs",
        "hashes"
      ],
      "properties": {
        "type": {
          "const": "bucket-hashes"
        },
        "table": {
          "description": "Name of the replicated table.",
          "enum": [
            "members",
            "summaries"
          ]
        },
        "cutoffMs": {
          "description": "Items with a later timestamp are left out; wall clock, in milliseconds.",
          "type": "integer",
          "minimum": 0
        },
        "hashes": {
          "type": "array",
          "maxItems": 64,
          "items": {
            "type": "integer",
            "minimum": 0
          }
        }
      }
    },
    "ItemVersion": {
      "description": "Version of an item that the sender holds.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "key",
        "stamp",
        "order"
      ],
      "properties": {
        "key": {
          "type": "string",
          "minLength": 1,
          "maxLength": 200
        },
        "stamp": {
          "description": "Incarnation of a member, or time at which a summary was made.",
          "type": "integer",
          "minimum": 0
        },
        "order": {
          "description": "Precedence among items with the same stamp; the higher one replaces the lower.",
          "type": "integer",
          "minimum": 0,
          "maximum": 9
        }
      }
    },
    "BucketItemsMessage": {
      "description": "Versions of the items that the sender holds in some buckets of a replicated table.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "table",
        "cutoffMs",
        "buckets",
        "items"
      ],
      "properties": {
        "type": {
          "const": "bucket-items"
        },
        "table": {
          "description": "Name of the replicated table.",
          "enum": [
            "members",
            "summaries"
          ]
        },
        "cutoffMs": {
          "description": "Items with a later timestamp are left out; wall clock, in milliseconds.",
          "type": "integer",
          "minimum": 0
        },
        "buckets": {
          "type": "array",
          "maxItems": 64,
          "items": {
            "type": "integer",
            "minimum": 0,
            "maximum": 63
          }
        },
        "items": {
          "type": "array",
          "maxItems": 50000,
          "items": {
            "$ref": "#/definitions/ItemVersion"
          }
        }
      }
    },
    "RemoteItem": {
      "description": "Information about another data centre: a service there, or whether a member of this data centre has a link to it.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "dataCentre",
        "stampMs"
      ],
      "properties": {
        "dataCentre": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "stampMs": {
          "description": "Timestamp in milliseconds; an item with a later one replaces an item with an earlier one.",
          "type": "integer",
          "minimum": 0
        },
        "summary": {
          "$ref": "#/definitions/ServiceSummary"
        },
        "link": {
          "title": "LinkState",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "memberId",
            "isUp",
            "readers"
          ],
          "properties": {
            "memberId": {
              "type": "string",
              "minLength": 1,
              "maxLength": 64
            },
            "isUp": {
              "type": "boolean"
            },
            "readers": {
              "description": "Mesh addresses of the reader candidates of that data centre.",
              "type": "array",
              "maxItems": 8,
              "items": {
                "type": "string",
                "minLength": 1,
                "maxLength": 64
              }
            }
          }
        }
      }
    },
    "LinkDigestMessage": {
      "description": "State of a reader candidate, sent to a reader candidate of another data centre.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "version",
        "headVersion",
        "summaryStampMs",
        "summaryHash"
      ],
      "properties": {
        "type": {
          "const": "link-digest"
        },
        "version": {
          "type": "integer",
          "minimum": 0
        },
        "headVersion": {
          "type": "integer",
          "minimum": 0
        },
        "summaryStampMs": {
          "description": "Latest timestamp that the sender holds for the receiver's data centre.",
          "type": "integer",
          "minimum": 0
        },
        "summaryHash": {
          "type": "string",
          "maxLength": 64,
          "description": "Hash of the service summaries that the sender holds for the receiver's data centre."
        },
        "readers": {
          "description": "Mesh addresses of the reader candidates; left out when unchanged since the previous digest.",
          "type": "array",
          "maxItems": 8,
          "items": {
            "type": "string",
            "minLength": 1,
            "maxLength": 64
          }
        }
      }
    },
    "PullMessage": {
      "description": "Requests the log entries after a version.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "headVersion"
      ],
      "properties": {
        "type": {
          "const": "pull"
        },
        "headVersion": {
          "type": "integer",
          "minimum": 0
        }
      }
    },
    "SummariesMessage": {
      "description": "Summaries of the services of the sender's data centre: the changed ones, or all when isFull is set.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "stampMs",
        "isFull",
        "summaries"
      ],
      "properties": {
        "type": {
          "const": "summaries"
        },
        "stampMs": {
          "type": "integer",
          "minimum": 0
        },
        "isFull": {
          "type": "boolean"
        },
        "summaries": {
          "type": "array",
          "maxItems": 20000,
          "items": {
            "$ref": "#/definitions/ServiceSummary"
          }
        }
      }
    },
    "ProbeMessage": {
      "description": "Asks the receiver to probe a member over a new connection, for indirect failure detection.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "id",
        "address"
      ],
      "properties": {
        "type": {
          "const": "probe"
        },
        "id": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "address": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        }
      }
    },
    "ProbeAnswerMessage": {
      "description": "Whether the probed member answered.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "id",
        "reached"
      ],
      "properties": {
        "type": {
          "const": "probe-answer"
        },
        "id": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "reached": {
          "type": "boolean"
        }
      }
    },
    "DigestMessage": {
      "description": "Versions and hashes of what the sender holds, from which the receiver finds and repairs differences.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "version",
        "headVersion",
        "membersHash",
        "summariesHash",
        "cutoffMs",
        "reply"
      ],
      "properties": {
        "type": {
          "const": "digest"
        },
        "version": {
          "type": "integer",
          "minimum": 0
        },
        "headVersion": {
          "type": "integer",
          "minimum": 0
        },
        "membersHash": {
          "type": "string",
          "maxLength": 64
        },
        "summariesHash": {
          "type": "string",
          "maxLength": 64
        },
        "cutoffMs": {
          "description": "Items with a later timestamp are left out; wall clock, in milliseconds.",
          "type": "integer",
          "minimum": 0
        },
        "reply": {
          "description": "Whether the receiver should send its own digest in return.",
          "type": "boolean"
        }
      }
    },
    "EntriesMessage": {
      "description": "Log entries that the receiver lacks, in order.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "entries"
      ],
      "properties": {
        "type": {
          "const": "entries"
        },
        "entries": {
          "type": "array",
          "maxItems": 10000,
          "items": {
            "description": "A log entry.",
            "type": "object",
            "additionalProperties": true
          }
        }
      }
    },
    "SnapshotMessage": {
      "description": "The whole configuration, for a receiver that is too far behind to be sent log entries.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "snapshot",
        "hash"
      ],
      "properties": {
        "type": {
          "const": "snapshot"
        },
        "snapshot": {
          "description": "The snapshot.",
          "type": "object",
          "additionalProperties": true
        },
        "hash": {
          "type": "string",
          "maxLength": 64
        }
      }
    },
    "ItemsMessage": {
      "description": "Items that the receiver lacks, and the keys of items that the sender lacks.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "table",
        "items",
        "wanted",
        "isLast"
      ],
      "properties": {
        "type": {
          "const": "items"
        },
        "table": {
          "description": "Name of the replicated table.",
          "enum": [
            "members",
            "summaries"
          ]
        },
        "items": {
          "type": "array",
          "maxItems": 1000,
          "items": {
            "description": "A member record or a remote item.",
            "type": "object",
            "additionalProperties": true
          }
        },
        "wanted": {
          "type": "array",
          "maxItems": 20000,
          "items": {
            "type": "string",
            "minLength": 1,
            "maxLength": 200
          }
        },
        "isLast": {
          "description": "Whether this is the last message of the answer.",
          "type": "boolean"
        }
      }
    },
    "SurveyMessage": {
      "description": "Asks the receiver, and through it other daemons, which versions they hold.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "id",
        "version",
        "deadlineMs"
      ],
      "properties": {
        "type": {
          "const": "survey"
        },
        "id": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "version": {
          "type": "integer",
          "minimum": 0
        },
        "deadlineMs": {
          "description": "Time left for the answer, in milliseconds.",
          "type": "integer",
          "minimum": 0,
          "maximum": 600000
        }
      }
    },
    "MemberRejection": {
      "description": "Rejection of one version by one daemon.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "memberId",
        "version",
        "kind",
        "message"
      ],
      "properties": {
        "memberId": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "version": {
          "type": "integer",
          "minimum": 0
        },
        "kind": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "message": {
          "type": "string",
          "maxLength": 400
        }
      }
    },
    "SurveyAnswerMessage": {
      "description": "Versions held by the sender and by the daemons that were asked through it.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "id",
        "answered",
        "lowestVersion",
        "highestVersion",
        "stragglers",
        "rejections"
      ],
      "properties": {
        "type": {
          "const": "survey-answer"
        },
        "id": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "answered": {
          "type": "integer",
          "minimum": 0
        },
        "lowestVersion": {
          "type": "integer",
          "minimum": 0
        },
        "highestVersion": {
          "type": "integer",
          "minimum": 0
        },
        "stragglers": {
          "type": "array",
          "maxItems": 32,
          "items": {
            "type": "string",
            "minLength": 1,
            "maxLength": 64
          }
        },
        "rejections": {
          "type": "array",
          "maxItems": 32,
          "items": {
            "$ref": "#/definitions/MemberRejection"
          }
        }
      }
    },
    "SurveyDeclineMessage": {
      "description": "Answer of a daemon that has already received the same survey from another daemon.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "type",
        "id"
      ],
      "properties": {
        "type": {
          "const": "survey-decline"
        },
        "id": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        }
      }
    }
  }
} as const;
