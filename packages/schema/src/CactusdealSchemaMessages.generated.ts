/* Generated from schemas/messages.json by `npm run generate`; not edited by hand. */

export type WorkerState = 'starting' | 'ready' | 'draining' | 'gone';

/**
 * Messages between daemons, and records that they carry.
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
 * What a data centre knows of one daemon.
 */
export interface MemberRecord {
  id: string;
  dataCentre: string;
  /**
   * Raised by the member itself with each change of its record.
   */
  incarnation: number;
  meshAddress: string;
  callsAddress: string;
  adminAddress: string;
  /**
   * Mesh address for other data centres; the mesh address when absent.
   */
  remoteMeshAddress?: string;
  /**
   * Calls address for other data centres; the calls address when absent.
   */
  remoteCallsAddress?: string;
  /**
   * State of the daemon itself.
   */
  state: 'alive' | 'suspect' | 'left' | 'dead';
  worker?: Worker;
}
/**
 * The upstream on a daemon's host, as it announced itself.
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
   * When it became ready, by its daemon's clock.
   */
  readyAtMs: number;
}
/**
 * What another data centre needs to know of a service in order to overflow to it.
 */
export interface ServiceSummary {
  dataCentre: string;
  service: string;
  readySlots: number;
  /**
   * A few addresses for calls, not every worker.
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
 * Body of an upstream's announcement at the daemon on its host.
 */
export interface WorkerAnnouncement {
  /**
   * IP number and port of the upstream.
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
 * First frame of each side of a connection.
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
 * Last frame of a connection that its sender does not keep.
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
 * Says that the sender is there.
 */
export interface HeartbeatMessage {
  type: 'heartbeat';
}
/**
 * One value of an epidemic broadcast, pushed along the tree.
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
 * Ids of values that the sender can give.
 */
export interface IHaveMessage {
  type: 'ihave';
  /**
   * @maxItems 256
   */
  ids: string[];
}
/**
 * Asks for values, and for the next ones to be pushed.
 */
export interface GraftMessage {
  type: 'graft';
  /**
   * @maxItems 256
   */
  ids: string[];
}
/**
 * Asks that values be announced and no longer pushed.
 */
export interface PruneMessage {
  type: 'prune';
}
/**
 * Hash of each part of a table that the sender holds.
 */
export interface BucketHashesMessage {
  type: 'bucket-hashes';
  /**
   * Which of the replicated tables.
   */
  table: 'members' | 'summaries';
  /**
   * Items stamped later are left out, in milliseconds by the wall clock.
   */
  cutoffMs: number;
  /**
   * @maxItems 64
   */
  hashes: number[];
}
/**
 * Items that the sender holds in the named parts of a table.
 */
export interface BucketItemsMessage {
  type: 'bucket-items';
  /**
   * Which of the replicated tables.
   */
  table: 'members' | 'summaries';
  /**
   * Items stamped later are left out, in milliseconds by the wall clock.
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
 * Which state of an item the sender holds.
 */
export interface ItemVersion {
  key: string;
  /**
   * Incarnation of a member, or when a summary was made.
   */
  stamp: number;
  /**
   * Order of the states within one stamp.
   */
  order: number;
}
/**
 * What a reader candidate holds, told to one of another data centre.
 */
export interface LinkDigestMessage {
  type: 'link-digest';
  version: number;
  headVersion: number;
  /**
   * Highest stamp held of the receiver's data centre.
   */
  summaryStampMs: number;
  /**
   * Hash of the services held of the receiver's data centre.
   */
  summaryHash: string;
  /**
   * Mesh addresses of the reader candidates; left out when the same as in the digest before.
   *
   * @maxItems 8
   */
  readers?: string[];
}
/**
 * Asks for the log entries above a version.
 */
export interface PullMessage {
  type: 'pull';
  headVersion: number;
}
/**
 * Services of the sender's data centre that changed, or all.
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
 * Asks the receiver to try a member over a connection of its own.
 */
export interface ProbeMessage {
  type: 'probe';
  id: string;
  address: string;
}
/**
 * Whether the member answered.
 */
export interface ProbeAnswerMessage {
  type: 'probe-answer';
  id: string;
  reached: boolean;
}
/**
 * What the sender holds, so that the receiver can mend a difference.
 */
export interface DigestMessage {
  type: 'digest';
  version: number;
  headVersion: number;
  membersHash: string;
  summariesHash: string;
  /**
   * Items stamped later are left out, in milliseconds by the wall clock.
   */
  cutoffMs: number;
  /**
   * Whether the receiver states its own digest in return.
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
 * The whole configuration, for a receiver too far behind.
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
 * Items that the receiver lacks, and keys of those that the sender lacks.
 */
export interface ItemsMessage {
  type: 'items';
  /**
   * Which of the replicated tables.
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
   * Whether nothing more follows on the same question.
   */
  isLast: boolean;
}
/**
 * Asks the receiver, and through it others, for the versions held.
 */
export interface SurveyMessage {
  type: 'survey';
  id: string;
  version: number;
  /**
   * Time for the answer, in milliseconds.
   */
  deadlineMs: number;
}
/**
 * Versions held by the daemons that were asked through the sender.
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
 * One daemon's refusal of one version.
 */
export interface MemberRejection {
  memberId: string;
  version: number;
  kind: string;
  message: string;
}
/**
 * One thing that is known of another data centre: a service there, or whether a member of this one has a link to it.
 */
export interface RemoteItem {
  dataCentre: string;
  /**
   * Later replaces earlier, in milliseconds.
   */
  stampMs: number;
  summary?: ServiceSummary;
  link?: LinkState;
}
export interface LinkState {
  memberId: string;
  isUp: boolean;
  /**
   * Mesh addresses of the reader candidates there.
   *
   * @maxItems 8
   */
  readers: string[];
}
/**
 * The sender was asked through another daemon already.
 */
export interface SurveyDeclineMessage {
  type: 'survey-decline';
  id: string;
}

/** The schema itself, for validation at run time. */
export const messagesSchema = {
  "$id": "messages",
  "title": "MessagesSchema",
  "description": "Messages between daemons, and records that they carry.",
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
      "description": "The upstream on a daemon's host, as it announced itself.",
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
          "description": "When it became ready, by its daemon's clock.",
          "type": "integer",
          "minimum": 0
        }
      }
    },
    "WorkerAnnouncement": {
      "description": "Body of an upstream's announcement at the daemon on its host.",
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
          "description": "IP number and port of the upstream.",
          "type": "string",
          "pattern": "^(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):\\d{1,5}$"
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
      "description": "What a data centre knows of one daemon.",
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
          "description": "Raised by the member itself with each change of its record.",
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
          "description": "Mesh address for other data centres; the mesh address when absent.",
          "type": "string"
        },
        "remoteCallsAddress": {
          "description": "Calls address for other data centres; the calls address when absent.",
          "type": "string"
        },
        "state": {
          "description": "State of the daemon itself.",
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
      "description": "What another data centre needs to know of a service in order to overflow to it.",
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
          "description": "A few addresses for calls, not every worker.",
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
      "description": "First frame of each side of a connection.",
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
      "description": "Last frame of a connection that its sender does not keep.",
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
      "description": "Says that the sender is there.",
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
      "description": "One value of an epidemic broadcast, pushed along the tree.",
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
      "description": "Ids of values that the sender can give.",
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
      "description": "Asks for values, and for the next ones to be pushed.",
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
      "description": "Asks that values be announced and no longer pushed.",
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
      "description": "Hash of each part of a table that the sender holds.",
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
          "description": "Which of the replicated tables.",
          "enum": [
            "members",
            "summaries"
          ]
        },
        "cutoffMs": {
          "description": "Items stamped later are left out, in milliseconds by the wall clock.",
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
      "description": "Which state of an item the sender holds.",
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
          "description": "Incarnation of a member, or when a summary was made.",
          "type": "integer",
          "minimum": 0
        },
        "order": {
          "description": "Order of the states within one stamp.",
          "type": "integer",
          "minimum": 0,
          "maximum": 9
        }
      }
    },
    "BucketItemsMessage": {
      "description": "Items that the sender holds in the named parts of a table.",
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
          "description": "Which of the replicated tables.",
          "enum": [
            "members",
            "summaries"
          ]
        },
        "cutoffMs": {
          "description": "Items stamped later are left out, in milliseconds by the wall clock.",
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
      "description": "One thing that is known of another data centre: a service there, or whether a member of this one has a link to it.",
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
          "description": "Later replaces earlier, in milliseconds.",
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
              "description": "Mesh addresses of the reader candidates there.",
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
      "description": "What a reader candidate holds, told to one of another data centre.",
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
          "description": "Highest stamp held of the receiver's data centre.",
          "type": "integer",
          "minimum": 0
        },
        "summaryHash": {
          "type": "string",
          "maxLength": 64,
          "description": "Hash of the services held of the receiver's data centre."
        },
        "readers": {
          "description": "Mesh addresses of the reader candidates; left out when the same as in the digest before.",
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
      "description": "Asks for the log entries above a version.",
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
      "description": "Services of the sender's data centre that changed, or all.",
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
      "description": "Asks the receiver to try a member over a connection of its own.",
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
      "description": "Whether the member answered.",
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
      "description": "What the sender holds, so that the receiver can mend a difference.",
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
          "description": "Items stamped later are left out, in milliseconds by the wall clock.",
          "type": "integer",
          "minimum": 0
        },
        "reply": {
          "description": "Whether the receiver states its own digest in return.",
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
      "description": "The whole configuration, for a receiver too far behind.",
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
      "description": "Items that the receiver lacks, and keys of those that the sender lacks.",
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
          "description": "Which of the replicated tables.",
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
          "description": "Whether nothing more follows on the same question.",
          "type": "boolean"
        }
      }
    },
    "SurveyMessage": {
      "description": "Asks the receiver, and through it others, for the versions held.",
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
          "description": "Time for the answer, in milliseconds.",
          "type": "integer",
          "minimum": 0,
          "maximum": 600000
        }
      }
    },
    "MemberRejection": {
      "description": "One daemon's refusal of one version.",
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
      "description": "Versions held by the daemons that were asked through the sender.",
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
      "description": "The sender was asked through another daemon already.",
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
